package jobapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
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

var start = time.Unix(1000, 0)

func call(e *echo.Echo, method, path, body string) *httptest.ResponseRecorder {
	reply := httptest.NewRecorder()
	e.ServeHTTP(reply, httptest.NewRequest(method, path, strings.NewReader(body)))
	return reply
}

func expectStatus(t *testing.T, reply *httptest.ResponseRecorder, code int, phase glade.JobPhase) jobapi.Status {
	t.Helper()
	qt.Assert(t, reply.Code, qt.Equals, code)
	var status jobapi.Status
	qt.Assert(t, json.Unmarshal(reply.Body.Bytes(), &status), qt.IsNil)
	qt.Check(t, status.Phase, qt.Equals, phase)
	return status
}

func expectRefused(t *testing.T, reply *httptest.ResponseRecorder, code int, reason glade.Reason) {
	t.Helper()
	qt.Check(t, reply.Code, qt.Equals, code)
	qt.Check(t, reply.Header().Get("Reason"), qt.Equals, string(reason))
	qt.Check(t, reply.Header().Get(echo.HeaderRetryAfter), qt.Not(qt.Equals), "")
}

func TestJobRequests(t *testing.T) {
	table := memory.NewTable()
	registry := adopt.New()
	spec := glade.ContractSpec{Customer: "studio", Pools: []glade.PoolSpec{{Name: "shading", Serve: "shading"}}}
	registry.ActivateIfNewer(glade.NewContract(spec, 1))
	registry.Confirm(1, start)
	config := jobapi.Config{Table: table, Objects: memory.NewObjectStore(), Registry: registry, Clock: clock.NewFake(start)}
	e := echo.New()
	jobapi.New(config).Routes(e)

	path := "/v1/studio/jobs/shading"
	first := expectStatus(t, call(e, http.MethodPost, path, `{"key":"a"}`), http.StatusAccepted, glade.JobAccepted)
	table.SetMode(memory.LoseAnswers)
	again := expectStatus(t, call(e, http.MethodPost, path, `{"key":"a"}`), http.StatusAccepted, glade.JobAccepted)
	qt.Check(t, again.Ticket, qt.Equals, first.Ticket)
	table.SetMode(memory.Up)
	jobPath := "/v1/jobs/" + string(first.Ticket)
	expectStatus(t, call(e, http.MethodGet, jobPath, ""), http.StatusOK, glade.JobAccepted)

	expectRefused(t, call(e, http.MethodPost, "/v1/studio/jobs/other", `{}`), http.StatusNotFound, glade.ReasonUnknownService)
	expectRefused(t, call(e, http.MethodPost, path, `{"prio":"now"}`), http.StatusBadRequest, glade.ReasonMalformed)

	table.SetMode(memory.Down)
	expectRefused(t, call(e, http.MethodPost, path, `{"key":"b"}`), http.StatusServiceUnavailable, glade.ReasonStoreUnavailable)
	stale := call(e, http.MethodGet, jobPath, "")
	expectStatus(t, stale, http.StatusOK, glade.JobAccepted)
	qt.Check(t, stale.Header().Get(jobapi.AgeHeader), qt.Equals, "0")

	table.SetMode(memory.Up)
	expectStatus(t, call(e, http.MethodDelete, jobPath, ""), http.StatusOK, glade.JobCancelled)
	expectStatus(t, call(e, http.MethodGet, jobPath+"/result", ""), http.StatusConflict, glade.JobCancelled)
	qt.Check(t, call(e, http.MethodGet, "/v1/jobs/studio.none", "").Code, qt.Equals, http.StatusNotFound)
}
