package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// permanentStatus maps refusals that a retry can't change to their status.
var permanentStatus = map[verdict.Reason]int{
	verdict.ReasonNotFound:     http.StatusNotFound,
	verdict.ReasonUnauthorized: http.StatusUnauthorized,
	verdict.ReasonTeamQuota:    http.StatusTooManyRequests,
	verdict.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	verdict.ReasonBadRequest:   http.StatusBadRequest,
	verdict.ReasonCallerGone:   http.StatusBadRequest,
}

// statusOf returns the HTTP status for a verdict. 503 promises that the request has
// not run and will not.
func statusOf(v *verdict.Verdict) int {
	if status, ok := permanentStatus[v.Reason]; ok {
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

// refuse responds with a verdict.
func (x *exchange) refuse(v *verdict.Verdict) {
	status := statusOf(v)
	if v.Execution == verdict.NotRun && v.RetryAfter > 0 {
		x.w.Header().Set("Retry-After", formatRetryAfter(v.RetryAfter))
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = x.w.Write([]byte(string(v.Reason) + "\n"))
}

// formatRetryAfter formats a duration as seconds with three decimals; callers
// accept fractions.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
