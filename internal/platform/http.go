package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// Defaults of HTTPOptions.
const (
	// DefaultHTTPTimeout bounds a call beyond the time that the call itself
	// asks the service to wait.
	DefaultHTTPTimeout = 5 * time.Second
	// maxAnswer bounds the size of an answer that is read into memory.
	maxAnswer = 64 << 20
	// drainLimit bounds what is read of a discarded answer so that its
	// connection can be used again.
	drainLimit = 16 << 10
)

// HTTPOptions configures the HTTP clients.
type HTTPOptions struct {
	// Client sends the requests; default http.DefaultClient.
	Client *http.Client
	// Timeout bounds a call; default DefaultHTTPTimeout. A long-poll read
	// gets it on top of its wait.
	Timeout time.Duration
}

// httpCaller sends JSON requests to one service.
type httpCaller struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

func newHTTPCaller(base string, opts HTTPOptions) httpCaller {
	caller := httpCaller{base: strings.TrimSuffix(base, "/"), client: opts.Client, timeout: opts.Timeout}
	if caller.client == nil {
		caller.client = http.DefaultClient
	}
	defaults.Set(&caller.timeout, DefaultHTTPTimeout)
	return caller
}

// httpCall is one request and where its answer goes.
type httpCall struct {
	method string
	path   string
	body   any
	answer any
	// wait is how long the service may hold the request.
	wait time.Duration
	// statuses maps statuses other than 200 to errors.
	statuses map[int]error
	// repeatable says that the call has no effect, so that a lost answer
	// only means that the service is unavailable.
	repeatable bool
}

// do sends call. An error wraps one of call.statuses, ErrUnavailable,
// ErrUnknownOutcome or ErrRejected.
func (c httpCaller) do(ctx context.Context, call httpCall) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.wait)
	defer cancel()
	var connected atomic.Bool
	req, err := c.request(ctx, call, &connected)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		// Without a connection no byte of the request left this process.
		return call.lost(!connected.Load(), cause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	err = call.decode(resp)
	_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
	return err
}

func (c httpCaller) request(ctx context.Context, call httpCall, connected *atomic.Bool) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, errors.Wrapf(ErrRejected, "encode request: %v", err)
		}
		body = bytes.NewReader(encoded)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, body)
	if err != nil {
		return nil, errors.Wrap(ErrRejected, "build request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (call httpCall) decode(resp *http.Response) error {
	status := resp.StatusCode
	if known, ok := call.statuses[status]; ok {
		if call.answer != nil {
			// The body of a known refusal is optional.
			_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(call.answer)
		}
		return errors.Wrapf(known, "status %d", status)
	}
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return errors.Wrapf(ErrRejected, "status %d", status)
	case status != http.StatusOK:
		return call.lost(false, http.StatusText(status))
	}
	if call.answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(call.answer); err != nil {
		// The decoder's error may quote the body.
		return call.lost(false, "answer not readable")
	}
	return nil
}

// lost classifies a call without a usable answer.
func (call httpCall) lost(unsent bool, why string) error {
	if unsent || call.repeatable {
		return errors.Wrap(ErrUnavailable, why)
	}
	return errors.Wrap(ErrUnknownOutcome, why)
}

// cause describes a transport error without the URL, which may hold names of
// streams.
func cause(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline exceeded"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed before the answer"
	}
	return "connection failed"
}
