package wire_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"indigoglade/wire"
)

func Example() {
	var counter wire.Counter
	here, there := net.Pipe()
	defer here.Close()
	go func() { _, _ = there.Write([]byte("hello")) }()
	_, _ = io.ReadFull(counter.Wrap(here), make([]byte, 5))
	fmt.Println(counter.Sent(), counter.Received())
	// Output: 0 5
}

func TestListener(t *testing.T) {
	var counter wire.Counter
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	counted := counter.Listen(listener)
	defer counted.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	server, err := counted.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	_, err = server.Write([]byte("abc"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, counter.Sent(), qt.Equals, int64(3))
}
