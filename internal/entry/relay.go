package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// relayBufferSize bounds the part of an answer that an entry holds.
const relayBufferSize = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferSize]byte) }}

// copyHeaders adds the headers of src that concern the message itself to dst.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	headers.RemoveHopByHop(dst)
}

// progress is called with each part of an answer as it is passed on.
type progress interface {
	chunk(now time.Time, size int)
}

// relayBody copies an upstream's answer to the caller as it arrives. Reading
// waits for writing, so a slow caller slows the upstream and at most one
// buffer is held.
func relayBody(dst *answerWriter, src io.Reader, watch progress) (int64, error) {
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	var total int64
	for {
		n, readErr := src.Read(buffer[:])
		if n > 0 {
			watch.chunk(time.Now(), n)
			total += int64(n)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return total, &callerGoneError{cause: err}
			}
			dst.Flush()
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, errors.Wrap(readErr, "read answer")
		}
	}
}

// callerGoneError means that the caller's connection failed.
type callerGoneError struct{ cause error }

// Error implements error.
func (e *callerGoneError) Error() string { return "caller connection: " + e.cause.Error() }

// Unwrap returns the connection's error.
func (e *callerGoneError) Unwrap() error { return e.cause }

// streamVerdict judges a relay that ended with err after the answer's head was
// read. A whole answer has been passed on to its last byte; many callers close
// the connection then. The trailer of an agent marks a stream that was cut.
func streamVerdict(ctx context.Context, trailer http.Header, whole bool, err error) *verdict.Verdict {
	var gone *callerGoneError
	switch {
	case errors.As(err, &gone):
		return verdict.Unknown(verdict.ReasonCallerGone, "the caller left during the answer")
	case whole:
	case ctx.Err() != nil:
		reason, why := endOf(ctx)
		return verdict.Unknown(reason, why+" during the answer")
	case err != nil:
		return verdict.Unknown(verdict.ReasonStreamCut, "the upstream's answer was cut")
	}
	if v, ok := verdict.FromHeaders(trailer); ok && v.Execution != verdict.Ran {
		return v
	}
	return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}
}
