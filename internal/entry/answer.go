package entry

import (
	"context"
	"net/http"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

type exchangeKey struct{}

// exchange is the raw HTTP side of a caller's request. goa decodes what the
// design describes; the relay needs the rest of the request and sets the
// status and headers of the answer, which a design fixes in advance.
type exchange struct {
	request *http.Request
	answer  *answerWriter
}

func exchangeOf(ctx context.Context) *exchange {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)
	return x
}

// answerWriter delays the status line until the first byte of the body, so
// that the status of the upstream or of a verdict can replace goa's.
type answerWriter struct {
	http.ResponseWriter
	status   int
	override int
	started  bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *answerWriter) Write(p []byte) (int, error) {
	a.start()
	return a.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController the underlying writer.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Flush sends what has been written so far.
func (a *answerWriter) Flush() {
	a.start()
	// An error means that the connection is gone; the next write reports it.
	_ = http.NewResponseController(a.ResponseWriter).Flush()
}

func (a *answerWriter) start() {
	if a.started {
		return
	}
	a.started = true
	status := a.status
	if a.override != 0 {
		status = a.override
	}
	if status == 0 {
		status = http.StatusOK
	}
	a.ResponseWriter.WriteHeader(status)
}

// withExchange makes the raw request and the answer available to the service
// methods behind next.
func withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{request: r, answer: &answerWriter{ResponseWriter: w}}
		ctx := context.WithValue(r.Context(), exchangeKey{}, x)
		next.ServeHTTP(x.answer, r.WithContext(ctx))
		x.answer.start()
	})
}

// errorBody is a verdict in the shape of the error answers. It implements
// goa's Statuser.
type errorBody struct {
	verdict.Body
	status int
}

// StatusCode implements goahttp.Statuser.
func (b *errorBody) StatusCode() int { return b.status }
