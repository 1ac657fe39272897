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
	// relayTries bounds the entries that one call tries, so that an outage of
	// the log does not multiply the calls by the number of entries.
	relayTries = 3
	// relayTimeout bounds a call beyond its wait. It is longer than
	// RelayConfig.AppendTimeout, so that the relay's answer arrives first.
	relayTimeout = 5 * time.Second
)

// RelayClient reads and appends through the relays of entries. It implements
// platform.Log.
type RelayClient struct {
	caller  rpc.Caller
	entries func() []string

	mu   sync.Mutex
	last string
}

// NewRelayClient returns a client that tries the addresses that entries
// returns, in their order but for the one that answered last, which is tried
// first while it is listed.
func NewRelayClient(caller rpc.Caller, entries func() []string) *RelayClient {
	return &RelayClient{caller: caller, entries: entries}
}

// Append implements platform.Log. After a call of unknown outcome no further
// entry is tried.
func (c *RelayClient) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	params := rpc.RelayAppendParams{Stream: stream, Records: records}
	failure := errors.Wrap(platform.ErrUnavailable, "no entry to append through")
	for _, addr := range c.candidates() {
		var result rpc.RelayAppendResult
		err := c.call(ctx, addr, rpc.MethodRelayAppend, params, &result, 0)
		if err == nil && len(result.Offsets) != len(records) {
			return state.NoOffset, errors.Wrap(platform.ErrUnknownOutcome, "relay answered without offsets")
		}
		if err == nil {
			c.remember(addr)
			return result.Offsets[0], nil
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			return state.NoOffset, err
		}
		failure = err
	}
	return state.NoOffset, failure
}

// Read implements platform.Log.
func (c *RelayClient) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	params := rpc.RelayReadParams{Stream: stream, From: from, Limit: limit, Wait: state.Duration(wait)}
	for _, addr := range c.candidates() {
		var result rpc.RelayReadResult
		if c.call(ctx, addr, rpc.MethodRelayRead, params, &result, wait) != nil {
			continue
		}
		c.remember(addr)
		if result.Truncated {
			return result.Page, errors.Wrap(platform.ErrTruncated, "relay")
		}
		return result.Page, nil
	}
	return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "no entry answered the read")
}

// candidates returns the addresses to try.
func (c *RelayClient) candidates() []string {
	listed := slices.Clone(c.entries())
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if i := slices.Index(listed, last); i > 0 {
		listed = slices.Insert(slices.Delete(listed, i, i+1), 0, last)
	}
	return listed[:min(len(listed), relayTries)]
}

func (c *RelayClient) remember(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = addr
}

func (c *RelayClient) call(ctx context.Context, addr, method string, params, result any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	err := c.caller.Call(ctx, addr, method, params, result)
	if err == nil {
		return nil
	}
	c.forget(addr)
	return fromRelay(err)
}

// forget stops preferring addr.
func (c *RelayClient) forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == addr {
		c.last = ""
	}
}

// fromRelay maps a failed call to the errors of platform.Log.
func fromRelay(err error) error {
	var rpcErr *jsonrpc2.Error
	noMethod := errors.As(err, &rpcErr) && rpcErr.Code == jsonrpc2.CodeMethodNotFound
	if noMethod || errors.Is(err, rpc.ErrUnreachable) {
		return errors.Wrap(platform.ErrUnavailable, "entry not reached")
	}
	v := verdict.Of(err)
	switch {
	case v.Execution != verdict.NotRun:
		return errors.Wrap(platform.ErrUnknownOutcome, "relay gave no outcome")
	case v.Reason == verdict.ReasonBadRequest:
		return errors.Wrap(platform.ErrRejected, v.Detail)
	default:
		return errors.Wrap(platform.ErrUnavailable, v.Detail)
	}
}
