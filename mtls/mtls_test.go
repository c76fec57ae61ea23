package mtls_test

import (
	"context"
	"crypto/tls"
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/config"
	"indigoglade/jrpc"
	"indigoglade/mtls"
)

func issue(t *testing.T, dir string, nodes ...glade.Node) config.KeysSpec {
	t.Helper()
	from := time.Now().Add(-time.Hour)
	issuer, err := mtls.NewIssuer(from, from.Add(24*time.Hour))
	qt.Assert(t, err, qt.IsNil)
	var spec config.KeysSpec
	for _, node := range nodes {
		spec, err = issuer.Write(dir, node)
		qt.Assert(t, err, qt.IsNil)
	}
	return spec
}

func load(t *testing.T, spec config.KeysSpec) *mtls.Keys {
	t.Helper()
	keys, err := mtls.New(spec)
	qt.Assert(t, err, qt.IsNil)
	return keys
}

// listen serves the method "ping" with the given keys.
func listen(t *testing.T, keys *mtls.Keys) (*jrpc.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	mux := jrpc.NewMux()
	jrpc.Handle(mux, "ping", func(_ context.Context, in int) (int, error) { return in + 1, nil })
	server := jrpc.NewServer(tls.NewListener(listener, keys.Server()), mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return server, listener.Addr().String()
}

// expectPing calls the method "ping" and checks whether the call succeeds.
func expectPing(t *testing.T, address string, secure *tls.Config, want bool) {
	t.Helper()
	client := jrpc.NewClient(jrpc.Config{Address: address, TLS: secure, Timeout: 5 * time.Second})
	defer client.Close()
	answer, err := jrpc.Call[int, int](context.Background(), client, "ping", 1)
	qt.Check(t, err == nil && answer == 2, qt.Equals, want, qt.Commentf("%v", err))
}

// awaitRefused waits until the server has counted n refused peers, because the
// caller may see its connection closed before the server counts it.
func awaitRefused(server *jrpc.Server, n int64) {
	for server.Refused() < n {
		runtime.Gosched()
	}
}

func TestPeers(t *testing.T) {
	keys := load(t, issue(t, t.TempDir(), "e1"))
	stranger := load(t, issue(t, t.TempDir(), "e1"))
	server, address := listen(t, keys)
	expectPing(t, address, keys.Client("e1"), true)
	expectPing(t, address, keys.Client("e2"), false)
	expectPing(t, address, &tls.Config{InsecureSkipVerify: true}, false)
	expectPing(t, address, stranger.Client("e1"), false)
	awaitRefused(server, 3)
}

func TestKeysAreReplacedWithoutARestart(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	old := load(t, issue(t, other, "e1"))
	keys := load(t, issue(t, dir, "e1"))
	_, address := listen(t, keys)
	expectPing(t, address, old.Client("e1"), false)
	issue(t, dir, "e1")
	expectPing(t, address, load(t, config.KeysSpec{
		Cert: dir + "/e1.crt", Key: dir + "/e1.key", Trust: dir + "/trust.crt",
	}).Client("e1"), true)
	expectPing(t, address, keys.Client("e1"), true)
}

func TestNoKeys(t *testing.T) {
	keys := load(t, config.KeysSpec{})
	qt.Check(t, keys.Server(), qt.IsNil)
	qt.Check(t, keys.Client("e1"), qt.IsNil)
}
