package roles

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// watcherCaller answers heartbeats and keeps the hashes named in them.
type watcherCaller struct {
	answer rpc.HeartbeatResult
	err    error
	named  []uint64
}

func (c *watcherCaller) Call(_ context.Context, _, _ string, params, result any) error {
	c.named = append(c.named, params.(rpc.Heartbeat).Entries)
	*result.(*rpc.HeartbeatResult) = c.answer
	return c.err
}

// Guards against a watcher that never hears which entries an agent knows, after
// a move, a lost answer or a change of the entries, and against the hash in
// each heartbeat.
func TestHeartbeatNamesEntriesOnce(t *testing.T) {
	g := NewWithT(t)
	watcher := &watcherCaller{}
	d := newDirectory(watcher, []string{"a", "b"})
	send := func(addr string, full bool) uint64 {
		var result rpc.HeartbeatResult
		_ = d.Call(t.Context(), addr, rpc.MethodHeartbeat, rpc.Heartbeat{Full: full}, &result)
		return watcher.named[len(watcher.named)-1]
	}
	hash := d.hash()
	g.Expect(send("a", false)).To(Equal(hash), "the first one")
	g.Expect(send("a", false)).To(BeZero())
	g.Expect(send("a", true)).To(Equal(hash), "a full one")
	g.Expect(send("b", false)).To(Equal(hash), "another watcher")
	g.Expect(send("a", false)).To(Equal(hash), "the former watcher again")
	watcher.err = rpc.ErrConnectionLost
	g.Expect(send("a", false)).To(BeZero())
	watcher.err = nil
	g.Expect(send("a", false)).To(Equal(hash), "after a failure")
	watcher.answer.Entries = []string{"a", "c"}
	g.Expect(send("a", false)).To(BeZero())
	watcher.answer.Entries = nil
	g.Expect(send("a", false)).To(And(Not(BeZero()), Not(Equal(hash))), "the entries have changed")
	g.Expect(send("a", false)).To(BeZero())
}
