// Package tunnel carries TCP connections between availability zones and breaks
// them while one of the two zones is cut off.
package tunnel

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Spec configures one tunnel. Processes of zone From reach the process at
// Address, which is in zone To, by connecting to Listen.
type Spec struct {
	Listen  string     `json:"listen"`
	From    glade.Zone `json:"from"`
	To      glade.Zone `json:"to"`
	Address string     `json:"address"`
}

// Config configures a Tunnel.
type Config struct {
	Spec Spec
	// IsCut tells whether a zone is cut off now.
	IsCut func(zone glade.Zone) bool
}

// Tunnel is one listener with the connections through it.
type Tunnel struct {
	config   Config
	listener net.Listener
}

// New returns a tunnel that listens already.
func New(config Config) (*Tunnel, error) {
	listener, err := net.Listen("tcp", config.Spec.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Spec.Listen)
	}
	return &Tunnel{config: config, listener: listener}, nil
}

// Run accepts connections until ctx ends.
func (r *Tunnel) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { r.listener.Close() })
	defer stop()
	for {
		near, err := r.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		p := &pipe{tunnel: r, near: near}
		go p.run()
	}
}

func (r *Tunnel) isCut() bool {
	return r.config.IsCut(r.config.Spec.From) || r.config.IsCut(r.config.Spec.To)
}

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// pipe is one connection through a tunnel.
type pipe struct {
	tunnel *Tunnel
	near   net.Conn
	far    net.Conn
}

func (p *pipe) run() {
	defer p.near.Close()
	if p.tunnel.isCut() {
		return
	}
	far, err := net.DialTimeout("tcp", p.tunnel.config.Spec.Address, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close()
	p.far = far
	back := &flow{pipe: p, from: far, to: p.near}
	go back.run()
	there := &flow{pipe: p, from: p.near, to: far}
	there.run()
}

// flow is one direction of a pipe.
type flow struct {
	pipe *pipe
	from net.Conn
	to   net.Conn
}

// run copies until an end closes or the zones are cut off. Both ends are closed
// then, so that the other direction ends too.
func (f *flow) run() {
	defer f.from.Close()
	defer f.to.Close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := f.from.Read(buffer)
		if n > 0 && !f.pass(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (f *flow) pass(data []byte) bool {
	if f.pipe.tunnel.isCut() {
		return false
	}
	_, err := f.to.Write(data)
	return err == nil
}
