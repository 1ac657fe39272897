package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/lagoonvalve/lagoonvalve/gen/callers"
	"github.com/lagoonvalve/lagoonvalve/gen/health"
	callersserver "github.com/lagoonvalve/lagoonvalve/gen/http/callers/server"
	healthserver "github.com/lagoonvalve/lagoonvalve/gen/http/health/server"
	operatorsserver "github.com/lagoonvalve/lagoonvalve/gen/http/operators/server"
	"github.com/lagoonvalve/lagoonvalve/gen/operators"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a whole request; answers have no
	// such bound, since the deadlines of requests end them.
	bodyTimeout = time.Minute
	// idleTimeout closes unused kept connections.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the wait for connections to become idle at a stop.
	closeTimeout = time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// maxOperatorBody bounds the body of an operator's request.
	maxOperatorBody = 1 * state.MiB
)

// newHTTPServer returns a server with time-outs and size limits.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// CallerLimits returns the limits on heads and idle connections.
func CallerLimits() ingress.Limits {
	return ingress.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// formatError gives every error the same shape and tells the caller whether
// its work may have run. goa's own errors are about requests that it could
// not decode, so nothing has run.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	var mistake *oplang.Mistake
	if errors.As(err, &mistake) {
		return mistakeBody(ctx, mistake)
	}
	var decodeError *goa.ServiceError
	var v *verdict.Verdict
	if !errors.As(err, &v) && errors.As(err, &decodeError) {
		v = verdict.Refuse(verdict.ReasonBadRequest, decodeError.Message)
	} else {
		v = verdict.Of(err)
	}
	if x := exchangeOf(ctx); x != nil {
		v.SetHeaders(x.answer.Header())
		x.answer.override = v.Reason.HTTPStatus()
	}
	body := verdict.Body{Error: verdict.BodyError{Code: v.Reason, Verdict: v.Execution.String(), Message: v.Detail}}
	return &errorBody{Body: body, status: v.Reason.HTTPStatus()}
}

// mistakeAnswer is the error answer to a statement with a mistake.
type mistakeAnswer struct {
	Error mistakeError `json:"error"`
}

type mistakeError struct {
	verdict.BodyError
	Mistake *oplang.Mistake `json:"mistake"`
}

// StatusCode implements goahttp.Statuser.
func (*mistakeAnswer) StatusCode() int { return http.StatusBadRequest }

func mistakeBody(ctx context.Context, mistake *oplang.Mistake) goahttp.Statuser {
	v := verdict.Refuse(oplang.CodeMistake, mistake.Error())
	if x := exchangeOf(ctx); x != nil {
		v.SetHeaders(x.answer.Header())
		x.answer.override = http.StatusBadRequest
	}
	return &mistakeAnswer{Error: mistakeError{
		BodyError: verdict.BodyError{Code: v.Reason, Verdict: v.Execution.String(), Message: v.Detail},
		Mistake:   mistake,
	}}
}

// callersHandler serves callers' requests and health.
func callersHandler(api callers.Service, ready func() error) http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, jsonEncoder
	callersserver.New(callers.NewEndpoints(api), mux, decoder, encoder, nil, formatError).Mount(mux)
	mountHealth(mux, ready)
	return withExchange(mux)
}

// operatorsHandler serves operators' requests, health and metrics.
func operatorsHandler(api operators.Service, ready func() error, metrics http.Handler) http.Handler {
	mux := goahttp.NewMuxer()
	operatorsserver.New(operators.NewEndpoints(api), mux, goahttp.RequestDecoder, jsonEncoder, nil, formatError).Mount(mux)
	mountHealth(mux, ready)
	if metrics != nil {
		mux.Handle(http.MethodGet, "/metrics", metrics.ServeHTTP)
	}
	return http.MaxBytesHandler(withExchange(mux), int64(maxOperatorBody))
}

func mountHealth(mux goahttp.Muxer, ready func() error) {
	endpoints := health.NewEndpoints(healthAPI{ready: ready})
	healthserver.New(endpoints, mux, goahttp.RequestDecoder, jsonEncoder, nil, nil).Mount(mux)
}

// jsonEncoder answers in JSON whatever the client accepts, so that errors
// have one form.
func jsonEncoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

type healthAPI struct{ ready func() error }

// Live implements health.Service.
func (healthAPI) Live(context.Context) error { return nil }

// Ready implements health.Service.
func (h healthAPI) Ready(context.Context) error {
	if err := h.ready(); err != nil {
		return health.MakeNotReady(err)
	}
	return nil
}

// serveHTTP serves on listener until ctx ends, then closes what is left. The
// server writes the end of an answer after the handler has returned, so that
// connections get closeTimeout to become idle, but not longer than closeBy
// says of a planned stop.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener, closeBy func() time.Time) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		limited, cancel := context.WithDeadline(context.WithoutCancel(ctx), ctxtime.EarlierDeadline(closeTimeout, closeBy()))
		defer cancel()
		if server.Shutdown(limited) != nil {
			_ = server.Close()
		}
	})
	err := server.Serve(listener)
	if !stop() {
		<-closed
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}
