// Package verdict defines how a request ended and whether its work may have run.
//
// Every failure of a request is reported as a Verdict. Its execution is NotRun only
// where the code can prove that no upstream started the work.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Execution is whether the work of a request has run on an upstream.
type Execution uint8

const (
	// MayHaveRun is the zero value, so that a verdict whose execution was never
	// set does not claim that the work was not run.
	MayHaveRun Execution = iota
	// NotRun means that no upstream started the work and none will.
	NotRun
	// Ran means that the work ran to its end.
	Ran
)

// String returns the wire form of e: "may-have-run", "not-run" or "ran".
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (e Execution) MarshalText() ([]byte, error) {
	return []byte(e.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Unknown text is an error.
func (e *Execution) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not-run":
		*e = NotRun
	case "may-have-run":
		*e = MayHaveRun
	case "ran":
		*e = Ran
	default:
		return errors.Errorf("unknown execution state %q", text)
	}
	return nil
}

// Verdict is how a request ended. It implements error.
type Verdict struct {
	// Execution is whether the work may have run.
	Execution Execution `json:"execution"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"reason"`
	// Detail is a short text for people. It must hold no secrets.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is the time after which another attempt may succeed; zero means
	// unknown.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Error implements error.
func (v *Verdict) Error() string {
	if v.Detail == "" {
		return fmt.Sprintf("%s (%s)", v.Reason, v.Execution)
	}
	return fmt.Sprintf("%s (%s): %s", v.Reason, v.Execution, v.Detail)
}

// Refuse returns a verdict that the work was not run, with the given reason.
func Refuse(reason Reason, detail string) *Verdict {
	return &Verdict{Execution: NotRun, Reason: reason, Detail: detail}
}

// Unknown returns a verdict that the work may have run, with the given reason.
func Unknown(reason Reason, detail string) *Verdict {
	return &Verdict{Execution: MayHaveRun, Reason: reason, Detail: detail}
}

// OfStatus returns the verdict of an upstream's response that arrived whole. A status of 5xx
// does not tell whether the work was done.
func OfStatus(status int) *Verdict {
	if status >= http.StatusInternalServerError {
		return Unknown(ReasonUpstreamFailed, "")
	}
	return &Verdict{Execution: Ran, Reason: ReasonOK}
}

// WithRetryAfter returns a copy of v with RetryAfter set to d.
func (v Verdict) WithRetryAfter(d time.Duration) *Verdict {
	v.RetryAfter = d
	return &v
}

// WithExecution returns a copy of v with Execution set to e.
func (v Verdict) WithExecution(e Execution) *Verdict {
	v.Execution = e
	return &v
}

// Of returns the verdict in err's chain, and nil if err is nil. An error without a
// verdict counts as an internal failure whose work may have run.
func Of(err error) *Verdict {
	if err == nil {
		return nil
	}
	var v *Verdict
	if errors.As(err, &v) {
		return v
	}
	return Unknown(ReasonInternal, err.Error())
}
