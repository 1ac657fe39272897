package entry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// partEntry is the control side of an entry that reads the region's stream.
type partEntry struct {
	*control
	next state.Offset
}

func newPartEntry() *partEntry {
	cfg := controlConfig{name: "e", region: "north"}
	return &partEntry{control: newControl(cfg, controlDeps{logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())}
}

// read applies a registration of an upstream's agent and publishes.
func (e *partEntry) read(upstream state.UpstreamName) {
	record, err := state.NewRecord("r", state.ProcessID{}, state.KindAgentStart, state.AgentStart{Upstream: upstream})
	if err != nil {
		panic(err)
	}
	e.region.Apply(state.StoredRecord{Offset: e.next, Record: record})
	e.next++
	e.dirty = true
	e.publish()
}

// ask asks in the background.
func (e *partEntry) ask(known uint64, atLeast state.Offset) chan rpc.PartResult {
	answer := make(chan rpc.PartResult, 1)
	go func() {
		result, _ := e.part(context.Background(), rpc.PartParams{
			PartQuery: state.PartQuery{Upstream: "u"}, Known: known, Wait: state.Duration(20 * time.Second),
			AtLeast: rpc.PartOffsets{Config: state.NoOffset, Region: atLeast},
		})
		answer <- result
	}()
	synctest.Wait()
	return answer
}

// Guards against an answer for each record of the region, against one that is
// before the offsets asked for, and against a change that waits for the poll's
// end.
func TestPartIsHeldUntilItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newPartEntry()
		e.configReady, e.regionReady = true, true
		e.read("other")
		first := <-e.ask(0, 0)
		g.Expect(first.Part.Registration).To(BeNil())
		sum := first.Part.Sum()
		held := e.ask(sum, first.Region)
		e.read("other")
		synctest.Wait()
		g.Expect(held).To(BeEmpty(), "another upstream's record")
		began := time.Now()
		e.read("u")
		second := <-held
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(second.Region).To(Equal(state.Offset(2)))
		g.Expect(second.Sum).To(Equal(second.Part.Sum()))
		g.Expect(second.Part.Registration.Token).To(Equal(state.FencingToken(2)))

		unchanged := <-e.ask(second.Part.Sum(), 2)
		g.Expect(unchanged).To(Equal(rpc.PartResult{PartOffsets: second.PartOffsets}), "the agent has the sum")
		g.Expect(time.Since(began)).To(Equal(20 * time.Second))

		ahead := e.ask(0, 4)
		e.read("other")
		synctest.Wait()
		g.Expect(ahead).To(BeEmpty(), "the entry lags behind the agent")
		began = time.Now()
		lagging := <-ahead
		g.Expect(lagging.Lagging).To(BeTrue())
		g.Expect(lagging.Part).To(BeNil())
		g.Expect(time.Since(began)).To(Equal(lagWait))
		ahead = e.ask(0, 4)
		e.read("other")
		g.Expect((<-ahead).Part).NotTo(BeNil())
	})
}

// Guards against a part from tables that are still being read.
func TestNoPartBeforeStreamsAreRead(t *testing.T) {
	g := NewWithT(t)
	e := newPartEntry()
	e.regionReady = true
	e.read("u")
	_, err := e.part(context.Background(), rpc.PartParams{PartQuery: state.PartQuery{Upstream: "u"}})
	g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonNotReady))
}
