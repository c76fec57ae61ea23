package send

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// FuzzReceive parses arbitrary answers. Only a complete answer with the
// request's id and within the size limit may count as answered.
func FuzzReceive(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nuntil the end")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	sender := New(Config{MaxIdleConns: 1, MaxBodyBytes: 8})
	f.Fuzz(func(t *testing.T, reply string) {
		r, _ := sender.receive(context.Background(), newConnReader(strings.NewReader(reply)), Call{ID: "a"})
		qt.Assert(t, r.Outcome() == glade.Refused, qt.IsFalse)
		if r.Outcome() == glade.Answered {
			qt.Check(t, len(r.Body()) <= 8, qt.IsTrue)
			qt.Check(t, strings.Contains(strings.ToLower(reply), "request-id"), qt.IsTrue)
		}
	})
}
