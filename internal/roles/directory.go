package roles

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// directory knows the entries that an agent may call: those of its settings at
// first, then those that heartbeat answers name. It passes calls through and
// learns from heartbeats.
type directory struct {
	next rpc.Caller

	mu      sync.Mutex
	entries []string
	watcher string
	// named is the hash of entries that the watcher at namedTo has heard.
	named   uint64
	namedTo string
}

func newDirectory(next rpc.Caller, entries []string) *directory {
	return &directory{next: next, entries: entries}
}

// Call implements rpc.Caller.
func (d *directory) Call(ctx context.Context, addr, method string, params, result any) error {
	beat, ok := params.(rpc.Heartbeat)
	if !ok {
		return d.next.Call(ctx, addr, method, params, result)
	}
	hash := d.hash()
	if beat.Full || !d.hasNamed(addr, hash) {
		beat.Entries = hash
	}
	err := d.next.Call(ctx, addr, method, beat, result)
	if answer, ok := result.(*rpc.HeartbeatResult); ok {
		d.learn(addr, hash, answer, err)
	}
	return err
}

// hasNamed reports whether the last heartbeat answered was one to addr, by
// which addr knows the hash.
func (d *directory) hasNamed(addr string, hash uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.namedTo == addr && d.named == hash
}

func (d *directory) learn(addr string, hash uint64, answer *rpc.HeartbeatResult, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		// Another entry becomes the watcher or names it.
		d.watcher = d.after(addr)
		d.namedTo = ""
		return
	}
	d.named, d.namedTo = hash, addr
	if len(answer.Entries) > 0 {
		d.entries = answer.Entries
	}
	if answer.Watcher != "" {
		d.watcher = answer.Watcher
	}
}

func (d *directory) after(addr string) string {
	if len(d.entries) == 0 {
		return ""
	}
	i := slices.Index(d.entries, addr)
	return d.entries[(i+1)%len(d.entries)]
}

// hash matches the one that an entry computes over its live entries.
func (d *directory) hash() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	digest := xxhash.New()
	// A digest's writes never fail.
	_, _ = digest.WriteString(strings.Join(d.entries, "\x00"))
	_, _ = digest.Write([]byte{0})
	return digest.Sum64()
}

// watch returns the entry that heartbeats go to.
func (d *directory) watch() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watcher == "" && len(d.entries) > 0 {
		d.watcher = d.entries[0]
	}
	return d.watcher, d.watcher != ""
}

// addresses lists the known entries, the watcher first.
func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]string, 0, len(d.entries)+1)
	if d.watcher != "" {
		all = append(all, d.watcher)
	}
	for _, entry := range d.entries {
		if entry != d.watcher {
			all = append(all, entry)
		}
	}
	return all
}
