package serve

import (
	"io"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"indigoglade/jrpc"
)

// Bounds of the bodies of all requests in flight, in bytes.
const (
	// maxBodiesBytes is room for as many requests as may be in flight with bodies of firstStep. Bodies that are larger
	// leave half of it to such requests: it is room for 16 of the greatest size.
	maxBodiesBytes = 64 << 20
	// firstStep and laterStep are how much a body takes at a time while it arrives.
	firstStep = 16 << 10
	laterStep = 64 << 10
	// bodyCopies is how often a body is kept while its buffer grows.
	bodyCopies = 2
)

// errNoRoom ends a body that finds no room beside those of other requests.
var errNoRoom = errors.New("no room for the body")

func newBodyLimit() *jrpc.Limit {
	return jrpc.NewLimit(jrpc.LimitConfig{MaxBytes: maxBodiesBytes, SmallBytes: bodyCopies * firstStep})
}

// bodyReader takes room for a body as its bytes arrive.
type bodyReader struct {
	reader io.Reader
	limit  *jrpc.Limit
	// taken is the room for the body, read is how much of it has arrived, both in bytes of the body.
	taken, read int64
}

// Read implements io.Reader.
func (b *bodyReader) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	b.read += int64(n)
	for b.taken < b.read {
		step := int64(laterStep)
		if b.taken == 0 {
			step = firstStep
		}
		if !b.limit.Take(bodyCopies * step) {
			return 0, errNoRoom
		}
		b.taken += step
	}
	return n, err
}

// giveBack gives the room back.
func (b *bodyReader) giveBack() { b.limit.Give(bodyCopies * b.taken) }

// bodyOf returns the reader of a request's body.
func (s *Server) bodyOf(c echo.Context) *bodyReader {
	return &bodyReader{reader: c.Request().Body, limit: s.bodies}
}
