package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// finalStatus are the refusals that no repetition changes.
var finalStatus = map[verdict.Reason]int{
	verdict.ReasonNotFound:     http.StatusNotFound,
	verdict.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	verdict.ReasonBadRequest:   http.StatusBadRequest,
	verdict.ReasonCallerGone:   http.StatusBadRequest,
}

// statusOf returns the status that says the same as a verdict. 503 promises
// that the request has not run and will not.
func statusOf(v *verdict.Verdict) int {
	if status, ok := finalStatus[v.Reason]; ok {
		return status
	}
	switch {
	case v.Execution == verdict.NotRun:
		return http.StatusServiceUnavailable
	case v.Reason == verdict.ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// refuse answers with a verdict.
func (x *exchange) refuse(v *verdict.Verdict) {
	status := statusOf(v)
	if v.Execution == verdict.NotRun && v.RetryAfter > 0 {
		x.w.Header().Set("Retry-After", retryAfter(v.RetryAfter))
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	// A failure means that the caller is gone.
	_, _ = x.w.Write([]byte(string(v.Reason) + "\n"))
}

// retryAfter writes a time in seconds with three decimals, as callers take
// fractions.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
