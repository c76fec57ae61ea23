package calls

import (
	"net"
	"sync"
)

// stableListener keeps an address open over the lives of an entry host. While the entry
// host is down, connections are closed at once.
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

// maxPendingConns bounds the connections that wait to be accepted.
const maxPendingConns = 1024

// attach returns the listener of a new life.
func (d *stableListener) attach() net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = &processListener{conns: make(chan net.Conn, maxPendingConns), closed: make(chan struct{}), address: d.listener.Addr()}
	return d.current
}

// detach ends the life: every connection breaks.
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

// processListener is the listener of one life.
type processListener struct {
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
	address net.Addr
}

// Accept returns the next connection.
func (i *processListener) Accept() (net.Conn, error) {
	select {
	case conn := <-i.conns:
		return conn, nil
	case <-i.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (i *processListener) Close() error {
	i.once.Do(func() { close(i.closed) })
	return nil
}

// Addr returns the address.
func (i *processListener) Addr() net.Addr { return i.address }
