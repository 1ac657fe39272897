package entry

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// beat sends a heartbeat to the bench's entry.
func (b *homeBench) beat(h rpc.Heartbeat) rpc.HeartbeatResult {
	result, err := exchangeEvent(b.t.Context(), b.control, func(reply chan rpc.HeartbeatResult) event {
		return heartbeatReceived{heartbeat: h, reply: reply}
	})
	if err != nil {
		b.t.Fatal(err)
	}
	return result
}

// Guards against an agent with old entry addresses that is never told the new
// ones, and against a list in each answer.
func TestHeartbeatAnswerNamesEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		time.Sleep(2 * time.Second)
		known := addressesHash([]string{"e1"})
		full := rpc.Heartbeat{
			Full: true, Upstream: "u0", Agent: 1, Incarnation: "au0", Sequence: 2, State: rpc.AgentServing, Entries: known,
		}
		short := rpc.Heartbeat{Agent: 1, Sequence: 2}
		g.Expect(b.beat(short).SendFull).To(BeTrue())
		g.Expect(b.beat(full)).To(Equal(rpc.HeartbeatResult{}))
		g.Expect(b.beat(short)).To(Equal(rpc.HeartbeatResult{}))
		old := short
		old.Entries = known + 1
		g.Expect(b.beat(old).Entries).To(Equal([]string{"e1"}))
		g.Expect(b.beat(short).Entries).To(Equal([]string{"e1"}), "the agent still knows others")
		g.Expect(b.beat(full)).To(Equal(rpc.HeartbeatResult{}))
		g.Expect(b.beat(short)).To(Equal(rpc.HeartbeatResult{}))
	})
}

// Guards against an agent that is not sent on from a former watcher, which
// knows it only by its registration.
func TestShortHeartbeatToAnotherWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		b.end()
		now := time.Now()
		b.addPeer("other", "other:1")
		b.peers.setLive([]state.EntryName{"other"})
		b.agents.Watch(b.ownUpstreams(), now)
		send := func(token state.FencingToken) rpc.HeartbeatResult {
			reply := make(chan rpc.HeartbeatResult, 1)
			heartbeatReceived{heartbeat: rpc.Heartbeat{Agent: token, Sequence: 2}, reply: reply}.apply(b.control, now)
			return <-reply
		}
		g.Expect(send(3).Watcher).To(Equal("other:1"))
		unknown := send(2)
		g.Expect(unknown.Watcher).To(BeEmpty(), "no registration")
		g.Expect(unknown.SendFull).To(BeTrue())
	})
}
