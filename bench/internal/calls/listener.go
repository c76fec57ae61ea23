package calls

import (
	"net"
	"sync"
)

// stableListener keeps its address while an entry host stops and restarts. While no entry host is
// attached, it closes every connection at once.
type stableListener struct {
	listener net.Listener

	mu      sync.Mutex
	current *processListener
	conns   []net.Conn
}

func newStableListener() (*stableListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &stableListener{listener: listener}
	go d.run()
	return d, nil
}

func (d *stableListener) address() string { return d.listener.Addr().String() }

func (d *stableListener) run() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.forward(conn)
	}
}

func (d *stableListener) forward(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		conn.Close()
		return
	}
	d.conns = append(d.conns, conn)
	select {
	case d.current.conns <- conn:
	default:
		conn.Close()
	}
}

// maxPendingConns bounds the connections that wait for Accept; further ones are closed.
const maxPendingConns = 1024

// attach returns the listener for a restarted entry host.
func (d *stableListener) attach() net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = &processListener{conns: make(chan net.Conn, maxPendingConns), closed: make(chan struct{}), address: d.listener.Addr()}
	return d.current
}

// detach closes the current listener and all connections.
func (d *stableListener) detach() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.current.Close()
		d.current = nil
	}
	for _, conn := range d.conns {
		conn.Close()
	}
	d.conns = nil
}

// processListener is the net.Listener of an entry host between two restarts.
type processListener struct {
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
	address net.Addr
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (i *processListener) Accept() (net.Conn, error) {
	select {
	case conn := <-i.conns:
		return conn, nil
	case <-i.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail. It can be called more than once.
func (i *processListener) Close() error {
	i.once.Do(func() { close(i.closed) })
	return nil
}

// Addr returns the address of the stable listener.
func (i *processListener) Addr() net.Addr { return i.address }
