package verdict

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HTTP headers that carry a verdict.
const (
	HeaderVerdict = "Lagoon-Verdict"
	HeaderReason  = "Lagoon-Reason"
)

// Body is the JSON body of every error response.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body.
type BodyError struct {
	Code    Reason `json:"code"`
	Verdict string `json:"verdict"`
	Message string `json:"message"`
}

// SetHeaders sets the headers for v in h. RetryAfter is rounded up to whole seconds.
func (v *Verdict) SetHeaders(h http.Header) {
	h.Set(HeaderVerdict, v.Execution.String())
	h.Set(HeaderReason, string(v.Reason))
	if v.RetryAfter > 0 {
		seconds := int(math.Ceil(v.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
}

// WriteHTTP writes v as an HTTP response with a JSON error body.
func (v *Verdict) WriteHTTP(w http.ResponseWriter) {
	v.SetHeaders(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(v.Reason.HTTPStatus())
	body := Body{Error: BodyError{Code: v.Reason, Verdict: v.Execution.String(), Message: v.Detail}}
	// A write error is ignored: it means that the caller, the only recipient
	// for a report of it, can't be reached.
	_ = json.NewEncoder(w).Encode(body)
}

// maxStatus is the highest status code of HTTP (RFC 9110, section 15).
const maxStatus = 599

// IsFinalStatus reports whether a status code is that of a final response in HTTP: neither
// informational nor outside the classes that HTTP defines.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// FromHeaders reads the verdict that SetHeaders wrote to h. It returns false if h
// has none or one with an unknown execution state; the caller must then assume
// that the work may have run.
func FromHeaders(h http.Header) (*Verdict, bool) {
	var execution Execution
	if err := execution.UnmarshalText([]byte(h.Get(HeaderVerdict))); err != nil {
		return nil, false
	}
	v := &Verdict{Execution: execution, Reason: Reason(h.Get(HeaderReason))}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		v.RetryAfter = time.Duration(seconds) * time.Second
	}
	return v, true
}
