package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Parts answers with the upstream's part of the configuration and of the
// region's decisions.
type Parts interface {
	Part(ctx context.Context, params rpc.PartParams) (rpc.PartResult, error)
}

const (
	// partTries bounds the entries that one question tries.
	partTries = 3
	// partTimeout bounds a call beyond its wait.
	partTimeout = 2 * time.Second
)

// PartClient asks the entries, the preferred one first.
type PartClient struct {
	caller  rpc.Caller
	entries func() []string
}

// NewPartClient returns a client that tries the addresses that entries returns
// in their order.
func NewPartClient(caller rpc.Caller, entries func() []string) *PartClient {
	return &PartClient{caller: caller, entries: entries}
}

// Part implements Parts. An entry that lags behind the offsets asked for is
// passed over.
func (c *PartClient) Part(ctx context.Context, params rpc.PartParams) (rpc.PartResult, error) {
	listed := c.entries()
	for _, addr := range listed[:min(len(listed), partTries)] {
		result, err := c.ask(ctx, addr, params)
		if ctx.Err() != nil {
			return rpc.PartResult{}, ctx.Err()
		}
		if err == nil && !result.Lagging {
			return result, nil
		}
	}
	return rpc.PartResult{}, errors.Wrap(platform.ErrUnavailable, "no entry answered for the upstream")
}

func (c *PartClient) ask(ctx context.Context, addr string, params rpc.PartParams) (rpc.PartResult, error) {
	ctx, cancel := context.WithTimeout(ctx, params.MaxWait()+partTimeout)
	defer cancel()
	var result rpc.PartResult
	err := c.caller.Call(ctx, addr, rpc.MethodPart, params, &result)
	return result, err
}

// partTables is the last part applied. It implements account.Catalogue. It
// belongs to the control goroutine.
type partTables struct {
	known    bool
	sum      uint64
	part     state.UpstreamPart
	versions map[state.ReplicaKey]state.ModelVersion
	adapters map[state.AdapterName]state.Adapter
}

func (t *partTables) set(part state.UpstreamPart, sum uint64) {
	t.known, t.part, t.sum = true, part, sum
	t.versions = make(map[state.ReplicaKey]state.ModelVersion, len(part.Versions))
	for _, v := range part.Versions {
		t.versions[state.ReplicaKey{Model: v.Model, Version: v.Name}] = v
	}
	t.adapters = make(map[state.AdapterName]state.Adapter, len(part.Adapters))
	for _, a := range part.Adapters {
		t.adapters[a.Name] = a
	}
}

// Version implements account.Catalogue.
func (t *partTables) Version(key state.ReplicaKey) (state.ModelVersion, bool) {
	v, ok := t.versions[key]
	return v, ok
}

// Adapter implements account.Catalogue.
func (t *partTables) Adapter(name state.AdapterName) (state.Adapter, bool) {
	a, ok := t.adapters[name]
	return a, ok
}

// LargestAdapter implements account.Catalogue.
func (t *partTables) LargestAdapter(model state.ModelName) state.Bytes {
	var largest state.Bytes
	for _, a := range t.part.Adapters {
		if a.Model == model {
			largest = max(largest, a.Size)
		}
	}
	return largest
}

// noteListed finds the listed replicas whose sizes the part does not say. Until
// it does, the agent orders nothing, since the account may count them too
// small.
func (c *control) noteListed(listing []platform.EngineReplica) {
	c.uncovered = nil
	var also []state.ReplicaKey
	for _, r := range listing {
		covered := c.parts.part.Covers(r.Model)
		if !covered {
			c.uncovered = append(c.uncovered, r.ReplicaKey)
		}
		if !covered || slices.Contains(c.also, r.ReplicaKey) {
			also = append(also, r.ReplicaKey)
		}
	}
	slices.SortFunc(also, func(a, b state.ReplicaKey) int { return strings.Compare(a.Path(), b.Path()) })
	if slices.Equal(also, c.also) {
		return
	}
	c.also = also
	c.askAgain()
}
