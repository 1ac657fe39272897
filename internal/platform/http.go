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

const (
	// DefaultHTTPTimeout is the default of HTTPOptions.Timeout. The wait that a
	// call requests from the service is added to it.
	DefaultHTTPTimeout = 5 * time.Second
	// maxResponse bounds the size of a response that is read into memory.
	maxResponse = 64 << 20
	// drainLimit bounds how much of the rest of a response is read and
	// discarded so that its connection can be reused.
	drainLimit = 16 << 10
)

// HTTPOptions configures the HTTP clients.
type HTTPOptions struct {
	// Client sends the requests; default http.DefaultClient.
	Client *http.Client
	// Timeout bounds a call; default DefaultHTTPTimeout. The wait of a
	// long-poll read is added to it.
	Timeout time.Duration
}

// jsonClient sends JSON requests to one service.
type jsonClient struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

func newJSONClient(base string, opts HTTPOptions) jsonClient {
	c := jsonClient{base: strings.TrimSuffix(base, "/"), client: opts.Client, timeout: opts.Timeout}
	if c.client == nil {
		c.client = http.DefaultClient
	}
	defaults.Set(&c.timeout, DefaultHTTPTimeout)
	return c
}

// httpCall describes one request and the destination of its response.
type httpCall struct {
	method   string
	path     string
	body     any
	response any
	// wait is how long the service may wait before it responds to the request.
	wait time.Duration
	// statuses maps statuses other than 200 that have a specific meaning for
	// this call to errors.
	statuses map[int]error
	// readOnly means that the call has no effect, so that a lost response is
	// reported as ErrUnavailable and not as ErrUnknownOutcome.
	readOnly bool
}

// do sends call. An error wraps one of call.statuses, ErrUnavailable,
// ErrUnknownOutcome or ErrRejected.
func (c jsonClient) do(ctx context.Context, call httpCall) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+call.wait)
	defer cancel()
	var connected atomic.Bool
	req, err := c.request(ctx, call, &connected)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		// Without a connection, no part of the request was sent.
		return call.noResponseError(!connected.Load(), transportErrorText(err))
	}
	defer func() { _ = resp.Body.Close() }()
	err = call.decode(resp)
	_, _ = io.CopyN(io.Discard, resp.Body, drainLimit)
	return err
}

func (c jsonClient) request(ctx context.Context, call httpCall, connected *atomic.Bool) (*http.Request, error) {
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
		if call.response != nil {
			// A response with such a status may have no body.
			_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(call.response)
		}
		return errors.Wrapf(known, "status %d", status)
	}
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return errors.Wrapf(ErrRejected, "status %d", status)
	case status != http.StatusOK:
		return call.noResponseError(false, http.StatusText(status))
	}
	if call.response == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponse)).Decode(call.response); err != nil {
		// The decoder's error is left out because it may quote the body.
		return call.noResponseError(false, "response could not be decoded")
	}
	return nil
}

// noResponseError returns the error of a call that got no usable response. unsent
// means that the request was not sent.
func (call httpCall) noResponseError(unsent bool, why string) error {
	if unsent || call.readOnly {
		return errors.Wrap(ErrUnavailable, why)
	}
	return errors.Wrap(ErrUnknownOutcome, why)
}

// transportErrorText describes a transport error without the URL, which may contain
// the names of streams.
func transportErrorText(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline exceeded"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed before the response"
	}
	return "connection failed"
}
