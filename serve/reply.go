package serve

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	glade "indigoglade"
)

func (s *Server) reply(c echo.Context, w requestInfo, r result) error {
	now := s.config.Clock.Now()
	s.outcomes.Add(r.outcome.String(), 1)
	if r.reason != glade.ReasonNone {
		s.outcomes.Add(r.outcome.String()+"."+string(r.reason), 1)
	}
	took, deadline := now.Sub(w.start), w.contract.Spec().Answer.Deadline.Duration()
	if customer := w.contract.Customer(); customer != "" {
		s.config.Demand.Record(w.pool.Serve, r.outcome, took)
		if !isAbandoned(r, took, deadline) {
			s.config.Meter.Record(customer, r.outcome, took, deadline)
		}
	}
	h := c.Response().Header()
	h.Set(IDHeader, w.id)
	h.Set(OutcomeHeader, r.outcome.String())
	h.Set(ContractVersionHeader, strconv.FormatUint(w.contract.Version(), 10))
	if age, confirmed := s.config.Registry.Age(now); confirmed {
		h.Set(ContractAgeHeader, strconv.FormatInt(age.Milliseconds(), 10))
	}
	if r.outcome == glade.Answered {
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, r.body)
	}
	h.Set(ReasonHeader, string(r.reason))
	if seconds := retryAfterSeconds(r); seconds > 0 {
		h.Set(RetryHeader, strconv.Itoa(seconds))
	}
	return c.String(statusOf(r), r.outcome.String()+": "+string(r.reason)+"\n")
}

// isAbandoned reports whether the caller disconnected within the promised
// deadline. Such a request neither keeps nor breaks the promise.
func isAbandoned(r result, took, deadline time.Duration) bool {
	return r.reason == glade.ReasonCallerDisconnected && took <= deadline
}

// statusOf returns the HTTP status of an outcome.
func statusOf(r result) int {
	switch r.outcome {
	case glade.Failed:
		return http.StatusBadGateway
	case glade.Unknown:
		return http.StatusGatewayTimeout
	}
	return RefusedStatus(r.reason)
}

// RefusedStatus returns the HTTP status of a refusal for the given reason.
func RefusedStatus(reason glade.Reason) int {
	switch reason {
	case glade.ReasonUnknownCustomer, glade.ReasonUnknownService:
		return http.StatusNotFound
	case glade.ReasonMalformed:
		return http.StatusBadRequest
	case glade.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case glade.ReasonQueueFull, glade.ReasonLimit:
		return http.StatusTooManyRequests
	case glade.ReasonDuplicate:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// defaultRetryAfter is the time after which callers may retry if there is no
// better estimate.
const defaultRetryAfter = time.Second

// retryAfterSeconds returns the seconds after which the caller may retry, or 0.
// Only a refusal for lack of capacity or of a part of the system has them.
func retryAfterSeconds(r result) int {
	status := statusOf(r)
	if r.outcome != glade.Refused || (status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests) {
		return 0
	}
	wait := max(r.retry, defaultRetryAfter)
	return int((wait + time.Second - 1) / time.Second)
}
