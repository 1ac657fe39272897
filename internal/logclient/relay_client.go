package logclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// maxRelayAttempts bounds the entries that one read or append tries, so
	// that an outage of the log does not multiply the calls by the number of
	// entries.
	maxRelayAttempts = 3
	// relayTimeout is the timeout of a call in addition to its long-poll time.
	// It is longer than RelayConfig.AppendTimeout, so that the relay's answer
	// arrives before the call times out.
	relayTimeout = 5 * time.Second
)

// RelayClient reads and appends through the relays that entry processes run. It
// implements platform.Log.
type RelayClient struct {
	caller  rpc.Caller
	entries func() []string

	mu sync.Mutex
	// preferred is the address that answered last, or empty after a call to
	// it failed.
	preferred string
}

// NewRelayClient returns a client that tries the addresses returned by entries
// in order. The address that answered last is tried first while it is listed.
func NewRelayClient(caller rpc.Caller, entries func() []string) *RelayClient {
	return &RelayClient{caller: caller, entries: entries}
}

// Append implements platform.Log. It tries the next entry only if the records
// were not stored, never after an append of unknown outcome.
func (c *RelayClient) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	params := rpc.RelayAppendParams{Stream: stream, Records: records}
	lastErr := errors.Wrap(platform.ErrUnavailable, "no entry address for the append")
	for _, addr := range c.candidates() {
		var result rpc.RelayAppendResult
		err := c.call(ctx, addr, rpc.MethodRelayAppend, params, &result, 0)
		if err == nil && len(result.Offsets) != len(records) {
			return state.NoOffset, errors.Wrap(platform.ErrUnknownOutcome, "relay returned a wrong number of offsets")
		}
		if err == nil {
			c.setPreferred(addr)
			return result.Offsets[0], nil
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			return state.NoOffset, err
		}
		lastErr = err
	}
	return state.NoOffset, lastErr
}

// Read implements platform.Log.
func (c *RelayClient) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	params := rpc.RelayReadParams{Stream: stream, From: from, Limit: limit, Wait: state.Duration(wait)}
	for _, addr := range c.candidates() {
		var result rpc.RelayReadResult
		if c.call(ctx, addr, rpc.MethodRelayRead, params, &result, wait) != nil {
			continue
		}
		c.setPreferred(addr)
		if result.Truncated {
			return result.Page, errors.Wrap(platform.ErrTruncated, "relay")
		}
		return result.Page, nil
	}
	return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "no entry answered the read")
}

// candidates returns the addresses to try, the preferred one first.
func (c *RelayClient) candidates() []string {
	addrs := slices.Clone(c.entries())
	c.mu.Lock()
	preferred := c.preferred
	c.mu.Unlock()
	if i := slices.Index(addrs, preferred); i > 0 {
		addrs = slices.Insert(slices.Delete(addrs, i, i+1), 0, preferred)
	}
	return addrs[:min(len(addrs), maxRelayAttempts)]
}

func (c *RelayClient) setPreferred(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = addr
}

func (c *RelayClient) call(ctx context.Context, addr, method string, params, result any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	err := c.caller.Call(ctx, addr, method, params, result)
	if err == nil {
		return nil
	}
	c.clearPreferred(addr)
	return toLogError(err)
}

func (c *RelayClient) clearPreferred(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == addr {
		c.preferred = ""
	}
}

// toLogError maps the error of a relay call to one of the errors of
// platform.Log.
func toLogError(err error) error {
	var rpcErr *jsonrpc2.Error
	noMethod := errors.As(err, &rpcErr) && rpcErr.Code == jsonrpc2.CodeMethodNotFound
	if noMethod || errors.Is(err, rpc.ErrUnreachable) {
		return errors.Wrap(platform.ErrUnavailable, "entry unreachable or without relay methods")
	}
	v := verdict.Of(err)
	switch {
	case v.Execution != verdict.NotRun:
		return errors.Wrap(platform.ErrUnknownOutcome, "relay did not report the outcome of the call")
	case v.Reason == verdict.ReasonBadRequest:
		return errors.Wrap(platform.ErrRejected, v.Detail)
	default:
		return errors.Wrap(platform.ErrUnavailable, v.Detail)
	}
}
