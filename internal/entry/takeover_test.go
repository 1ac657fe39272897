package entry

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// takeoverBound is TakeAfter of the lease, the stagger of two standbys, the
// tick and the wait for reads of the log.
const takeoverBound = 13 * time.Second

// outcomesOf replays a region's stream.
func outcomesOf(records []state.StoredRecord) (tables *state.RegionTables, effects map[string]state.Effect) {
	tables, effects = state.NewRegionTables(), make(map[string]state.Effect)
	for _, record := range records {
		effects[record.ID] = tables.Apply(record).Effect
	}
	return tables, effects
}

// takes counts the lease.take records that took effect and those that did not.
func takes(records []state.StoredRecord) (effective, void int) {
	_, effects := outcomesOf(records)
	for _, record := range records {
		switch {
		case record.Kind != state.KindLeaseTake:
		case effects[record.ID] == state.EffectApplied:
			effective++
		default:
			void++
		}
	}
	return effective, void
}

func grantRecord(g Gomega, epoch state.Epoch, upstream state.UpstreamName) state.Record {
	return newTestRecord(g, state.KindGrant, state.GrantBody{
		Epoch: epoch, ReplicaKey: state.ReplicaKey{Model: "m", Version: "v"}, Upstream: upstream, Limit: 10,
	})
}

// Guards against a region without a decider, with two of them, or with grants
// of one that has lost its lease, after the holder was killed, paused, cut off
// from the log, or had its appends delayed.
func TestDeciderIsTakenOver(t *testing.T) {
	region := platform.RegionStream("r")
	for name, fault := range map[string]func(m *member) (end func()){
		"killed": func(m *member) func() { m.stop(); return func() {} },
		"paused": func(m *member) func() {
			release, resume := m.log.hold(), m.pause()
			return func() { release(); resume() }
		},
		"cut off": func(m *member) func() { m.log.setCut(true); return func() { m.log.setCut(false) } },
		"delayed": func(m *member) func() { return m.log.hold() },
	} {
		// A holder that is paused or whose appends are delayed has a plan on its way when the fault
		// begins, which reaches the log after the next decider has started.
		onItsWay := name == "paused" || name == "delayed"
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := newTestRegion(t, standin.LogConfig{})
			for i := range 3 {
				r.connect(r.add("r", i, peersOf("r", 3), 24*time.Hour))
			}
			time.Sleep(20 * time.Second)
			before, ok := r.members[0].control.view().region.Lease()
			g.Expect(ok).To(BeTrue(), name)
			var holder *member
			var standbys []*member
			for _, m := range r.members {
				if m.cfg.Name == string(before.Holder) {
					holder = m
				} else {
					standbys = append(standbys, m)
				}
			}
			defer func() {
				for _, m := range standbys {
					m.stop()
				}
				if name != "killed" {
					holder.stop()
				}
			}()
			effectiveBefore, voidBefore := takes(r.log.Records(region))
			end := fault(holder)
			late := grantRecord(g, before.Epoch, "late")
			if onItsWay {
				go func() { _, _ = holder.writer.Append(t.Context(), region, late) }()
			}
			began := time.Now()
			taken := func() bool {
				for _, m := range standbys {
					now, _ := m.control.view().region.Lease()
					if now.Epoch == before.Epoch {
						return false
					}
				}
				return true
			}
			for !taken() {
				time.Sleep(100 * time.Millisecond)
				g.Expect(time.Since(began)).To(BeNumerically("<", takeoverBound), name)
			}
			t.Logf("%s: both standbys see the next decider after %v", name, time.Since(began))
			after, _ := standbys[0].control.view().region.Lease()
			g.Expect(after.Holder).NotTo(Equal(before.Holder), name)
			other, _ := standbys[1].control.view().region.Lease()
			g.Expect(other).To(Equal(after), name)
			own := grantRecord(g, after.Epoch, "own")
			_, err := standbys[0].writer.Append(t.Context(), region, own)
			g.Expect(err).NotTo(HaveOccurred(), name)
			time.Sleep(20 * time.Second)
			end()
			if !onItsWay {
				_, err := r.log.Append(t.Context(), region, []state.Record{late})
				g.Expect(err).NotTo(HaveOccurred(), name)
			}
			// A slow standby's attempt names the lease that was replaced.
			appendTo(g, r.log, region, state.KindLeaseTake, state.LeaseTake{Holder: "slow", Replaces: before.Epoch})
			time.Sleep(20 * time.Second)

			records := r.log.Records(region)
			tables, effects := outcomesOf(records)
			g.Expect(effects).To(HaveKeyWithValue(late.ID, state.EffectConflict), name)
			g.Expect(effects).To(HaveKeyWithValue(own.ID, state.EffectApplied), name)
			effective, void := takes(records)
			g.Expect(effective-effectiveBefore).To(Equal(1), name)
			g.Expect(void-voidBefore).To(Equal(1), "%s: both standbys tried", name)
			held, _ := tables.View().Lease()
			g.Expect(held.Epoch).To(Equal(after.Epoch), name)
			for _, m := range r.members {
				if name == "killed" && m == holder {
					continue
				}
				seen, _ := m.control.view().region.Lease()
				g.Expect(seen.Epoch).To(Equal(after.Epoch), "%s: %s", name, m.cfg.Name)
				_, granted := grantOf(m.control.view().region, "late")
				g.Expect(granted).To(BeFalse(), "%s: %s", name, m.cfg.Name)
				_, granted = grantOf(m.control.view().region, "own")
				g.Expect(granted).To(BeTrue(), "%s: %s", name, m.cfg.Name)
			}
		})
	}
}

func grantOf(v *state.RegionView, upstream state.UpstreamName) (state.Grant, bool) {
	for grant := range v.Grants() {
		if grant.Upstream == upstream {
			return grant, true
		}
	}
	return state.Grant{}, false
}
