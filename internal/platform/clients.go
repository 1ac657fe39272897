package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Paths of the platform's HTTP interfaces.
const (
	PathLogAppend    = "/v1/log/append"
	PathLogRead      = "/v1/log/read"
	PathHosts        = "/v1/hosts"
	PathEngineStatus = "/v1/engine/status"
	PathEngineOrders = "/v1/engine/orders"
)

// Statuses with a meaning of their own.
const (
	// StatusTruncated answers a read from before retention.
	StatusTruncated = http.StatusGone
	// StatusStaleToken answers an order with an old fencing token.
	StatusStaleToken = http.StatusConflict
	// StatusNoMemory answers an order that does not fit.
	StatusNoMemory = http.StatusInsufficientStorage
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Stream  Stream         `json:"stream"`
	Records []state.Record `json:"records"`
}

// AppendResponse answers an append.
type AppendResponse struct {
	First state.Offset `json:"first"`
}

// HostsResponse is the host list.
type HostsResponse struct {
	Hosts []HostInfo `json:"hosts"`
}

// HTTPLog is a client of the log service. It implements Log.
type HTTPLog struct{ http httpCaller }

// NewHTTPLog returns a client of the log service at base, such as
// "http://127.0.0.1:7000".
func NewHTTPLog(base string, opts HTTPOptions) *HTTPLog {
	return &HTTPLog{http: newHTTPCaller(base, opts)}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream Stream, records []state.Record) (state.Offset, error) {
	var answer AppendResponse
	err := l.http.do(ctx, httpCall{
		method: http.MethodPost,
		path:   PathLogAppend,
		body:   AppendRequest{Stream: stream, Records: records},
		answer: &answer,
	})
	if err != nil {
		return state.NoOffset, err
	}
	return answer.First, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream Stream, from state.Offset, limit int, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("stream", string(stream))
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait", wait.String())
	var page Page
	err := l.http.do(ctx, httpCall{
		method:     http.MethodGet,
		path:       PathLogRead + "?" + query.Encode(),
		answer:     &page,
		wait:       wait,
		statuses:   map[int]error{StatusTruncated: ErrTruncated},
		repeatable: true,
	})
	return page, err
}

// HTTPHostList is a client of the host list. It implements HostList.
type HTTPHostList struct{ http httpCaller }

// NewHTTPHostList returns a client of the host list at base.
func NewHTTPHostList(base string, opts HTTPOptions) *HTTPHostList {
	return &HTTPHostList{http: newHTTPCaller(base, opts)}
}

// Hosts implements HostList.
func (h *HTTPHostList) Hosts(ctx context.Context) ([]HostInfo, error) {
	var answer HostsResponse
	err := h.http.do(ctx, httpCall{method: http.MethodGet, path: PathHosts, answer: &answer, repeatable: true})
	return answer.Hosts, err
}

// HTTPEngine is a client of an engine's control side. It implements Engine.
type HTTPEngine struct {
	http   httpCaller
	orders httpCaller
}

// DefaultOrderTimeout bounds an order. A load of a large checkpoint from a
// slow store takes minutes.
const DefaultOrderTimeout = 10 * time.Minute

// NewHTTPEngine returns a client of the engine at base. An order may take
// orderTimeout; zero means DefaultOrderTimeout.
func NewHTTPEngine(base string, opts HTTPOptions, orderTimeout time.Duration) *HTTPEngine {
	engine := &HTTPEngine{http: newHTTPCaller(base, opts)}
	engine.orders = engine.http
	engine.orders.timeout = orderTimeout
	if orderTimeout <= 0 {
		engine.orders.timeout = DefaultOrderTimeout
	}
	return engine
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context) (EngineStatus, error) {
	var status EngineStatus
	err := e.http.do(ctx, httpCall{method: http.MethodGet, path: PathEngineStatus, answer: &status, repeatable: true})
	return status, err
}

// Do implements Engine.
func (e *HTTPEngine) Do(ctx context.Context, order Order) error {
	return e.orders.do(ctx, httpCall{
		method:   http.MethodPost,
		path:     PathEngineOrders,
		body:     order,
		statuses: map[int]error{StatusStaleToken: ErrStaleToken, StatusNoMemory: ErrNoMemory},
	})
}
