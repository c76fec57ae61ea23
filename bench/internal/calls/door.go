package calls

import (
	"net"
	"sync"
)

// door keeps an address open over the lives of an entry host. While the entry
// host is down, connections are closed at once.
type door struct {
	listener net.Listener

	mu    sync.Mutex
	inlet *inlet
	conns []net.Conn
}

func newDoor() (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{listener: listener}
	go d.run()
	return d, nil
}

func (d *door) address() string { return d.listener.Addr().String() }

func (d *door) run() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.admit(conn)
	}
}

func (d *door) admit(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inlet == nil {
		conn.Close()
		return
	}
	d.conns = append(d.conns, conn)
	select {
	case d.inlet.conns <- conn:
	default:
		conn.Close()
	}
}

// inletLength bounds the connections that wait to be accepted.
const inletLength = 1024

// open returns the listener of a new life.
func (d *door) open() net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inlet = &inlet{conns: make(chan net.Conn, inletLength), closed: make(chan struct{}), address: d.listener.Addr()}
	return d.inlet
}

// cut ends the life: every connection breaks.
func (d *door) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inlet != nil {
		d.inlet.Close()
		d.inlet = nil
	}
	for _, conn := range d.conns {
		conn.Close()
	}
	d.conns = nil
}

// inlet is the listener of one life.
type inlet struct {
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
	address net.Addr
}

// Accept returns the next connection.
func (i *inlet) Accept() (net.Conn, error) {
	select {
	case conn := <-i.conns:
		return conn, nil
	case <-i.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (i *inlet) Close() error {
	i.once.Do(func() { close(i.closed) })
	return nil
}

// Addr returns the address.
func (i *inlet) Addr() net.Addr { return i.address }
