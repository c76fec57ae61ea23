package jrpc

import (
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxMessageBytes bounds one message: the runner loads of a service with thousands of
// runners take some hundred kilobytes.
const maxMessageBytes = 8 << 20

// errMessageTooLarge ends a connection whose peer sends a message beyond maxMessageBytes.
var errMessageTooLarge = errors.Errorf("message is larger than %d bytes", maxMessageBytes)

// stream reads and writes JSON messages on a connection. A message beyond
// maxMessageBytes ends the connection, so that no peer can use up the memory of the
// process.
type stream struct {
	conn    net.Conn
	reader  *boundedReader
	decoder *json.Decoder
	writing sync.Mutex
	// written counts the messages that the peer may have received whole.
	written atomic.Int64
	// writeTimeout bounds the writing of one message to a peer that reads nothing; 0 means no
	// bound.
	writeTimeout time.Duration
	// receivedAt is the Unix time in nanoseconds of the last bytes that were received.
	receivedAt atomic.Int64
	// failed is set when a message may have been written in part: no other can follow it.
	failed atomic.Bool
}

func newStream(conn net.Conn) *stream {
	reader := &boundedReader{reader: conn}
	s := &stream{conn: conn, reader: reader, decoder: json.NewDecoder(reader)}
	reader.receivedAt = &s.receivedAt
	return s
}

// WriteObject writes one message.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.writeTimeout > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
			return errors.Wrap(err, "bound the writing of a message")
		}
	}
	n, err := s.conn.Write(append(data, '\n'))
	if n >= len(data) { // without the end of the line, too
		s.written.Add(1)
	}
	if err != nil {
		s.failed.Store(true)
		s.conn.Close() // the error of the write tells more
	}
	return err
}

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	s.reader.left = maxMessageBytes
	return s.decoder.Decode(v)
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// boundedReader reads up to left bytes.
type boundedReader struct {
	reader     io.Reader
	left       int
	receivedAt *atomic.Int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(data []byte) (int, error) {
	if r.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.reader.Read(data[:min(len(data), r.left)])
	r.left -= n
	if n > 0 {
		r.receivedAt.Store(time.Now().UnixNano())
	}
	return n, err
}
