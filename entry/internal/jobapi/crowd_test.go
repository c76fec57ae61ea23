package jobapi_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/entry/internal/jobapi"
	"indigoglade/memory"
)

// stalledBody is a body of which nothing arrives until release is closed.
type stalledBody struct {
	began   chan<- struct{}
	release <-chan struct{}
}

func (b stalledBody) Read([]byte) (int, error) {
	b.began <- struct{}{}
	<-b.release
	return 0, io.EOF
}

// stalledCaller submits a job of which nothing arrives.
type stalledCaller struct {
	handler http.Handler
	body    stalledBody
	replies chan<- *httptest.ResponseRecorder
}

func (c stalledCaller) run() {
	reply := httptest.NewRecorder()
	c.handler.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, "/v1/studio/jobs/shading", c.body))
	c.replies <- reply
}

// TestStalledDescriptions guards against callers that hold the memory of a process with job descriptions that don't
// end: their number had no bound, and their time neither.
func TestStalledDescriptions(t *testing.T) {
	registry := adopt.New()
	spec := glade.ContractSpec{Customer: "studio", Pools: []glade.PoolSpec{{Name: "shading", Serve: "shading"}}}
	registry.ActivateIfNewer(glade.NewContract(spec, 1))
	registry.Confirm(1, start)
	server := jobapi.New(jobapi.Config{
		Table: memory.NewTable(), Objects: memory.NewObjectStore(), Registry: registry, Clock: clock.System{}, BodyTimeout: 100 * time.Millisecond,
	})
	e := echo.New()
	server.Routes(e)

	t.Run("a bound of their number", func(t *testing.T) {
		const bound, callers = 512, 600 // 64 MB, at twice the size of a description
		began, release, replies := make(chan struct{}), make(chan struct{}), make(chan *httptest.ResponseRecorder, callers)
		for range callers {
			go stalledCaller{handler: e, body: stalledBody{began: began, release: release}, replies: replies}.run()
		}
		waiting, refused := 0, 0
		for waiting+refused < callers {
			select {
			case <-began:
				waiting++
			case reply := <-replies:
				expectRefused(t, reply, http.StatusTooManyRequests, glade.ReasonQueueFull)
				refused++
			}
		}
		qt.Assert(t, waiting, qt.Equals, bound)
		close(release)
		for range waiting {
			<-replies
		}
		expectStatus(t, call(e, http.MethodPost, "/v1/studio/jobs/shading", `{"key":"a"}`), http.StatusAccepted, glade.JobAccepted)
	})
	t.Run("a bound of their time", func(t *testing.T) {
		listening := httptest.NewServer(e)
		defer listening.Close()
		conn, err := net.Dial("tcp", listening.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/studio/jobs/shading HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n{")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		defer reply.Body.Close()
		qt.Assert(t, reply.Header.Get("Reason"), qt.Equals, string(glade.ReasonDeadline))
	})
}
