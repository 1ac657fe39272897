package logclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

const stream platform.Stream = "region/a"

func TestMain(m *testing.M) { testenv.Main(m, testenv.RapidDefaults{Seed: 20261204}) }

func record(id string) state.Record {
	return state.Record{ID: id, Kind: state.KindAudit, Body: json.RawMessage(`{}`)}
}

func numberedRecords(prefix string, count int) []state.Record {
	list := make([]state.Record, 0, count)
	for i := range count {
		list = append(list, record(fmt.Sprintf("%s-%d", prefix, i)))
	}
	return list
}

// timeoutLog ends an append after a timeout, as an HTTP client does.
type timeoutLog struct {
	platform.Log
	timeout time.Duration
}

func (l timeoutLog) Append(ctx context.Context, s platform.Stream, records []state.Record) (state.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.Log.Append(ctx, s, records)
}

// rejectingLog rejects appends that contain a record with the given id.
type rejectingLog struct {
	platform.Log
	id string
}

func (l rejectingLog) Append(ctx context.Context, s platform.Stream, records []state.Record) (state.Offset, error) {
	for _, r := range records {
		if r.ID == l.id {
			return state.NoOffset, errors.Wrap(platform.ErrRejected, "test")
		}
	}
	return l.Log.Append(ctx, s, records)
}

// countingLog counts reads.
type countingLog struct {
	platform.Log
	mu    sync.Mutex
	reads int
}

func (l *countingLog) Read(ctx context.Context, s platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	return l.Log.Read(ctx, s, from, limit, wait)
}

func (l *countingLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// localCaller is an rpc.Caller that calls the methods of relays in this
// process. It encodes parameters and results as JSON and lists the addresses
// called.
type localCaller struct {
	mu      sync.Mutex
	methods map[string]map[string]rpc.MethodFunc
	calls   []string
}

func (c *localCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	c.mu.Lock()
	c.calls = append(c.calls, addr)
	methods := c.methods[addr]
	c.mu.Unlock()
	if methods == nil {
		return errors.Wrap(rpc.ErrUnreachable, addr)
	}
	f, ok := methods[method]
	if !ok {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := f(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}
