package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// overdue ends a request that has not been answered in time. Work that was sent
// may have run. If nothing of the system still knows the request, it was lost.
func (e *entry) overdue(r *request) {
	open := slices.Clone(e.live[r])
	switch {
	case r.ended:
		return
	case len(open) > 0:
		e.o.end(r, outcomeCut)
	case e.waiting[r.id] != nil:
		e.queues[r.model].Remove(r.id)
		delete(e.waiting, r.id)
		e.o.end(r, outcomeRefused)
	default:
		e.o.end(r, outcomeLost)
	}
	for _, at := range open {
		e.abandon(at)
	}
}

// report takes in a load report made at some time.
func (e *entry) report(up, load int, at time.Time) {
	v := e.view(up)
	if at.Before(v.reported) {
		return
	}
	v.queue, v.reported, v.received, v.sent = load, at, e.o.now, 0
	for _, sent := range v.open {
		if sent.After(at) {
			v.sent++
		}
	}
}

func (e *entry) firstToken(at *attempt) {
	if at.over {
		return
	}
	first := e.o.now.Sub(at.sentAt) - at.wait
	e.tracker.Observe(e.o.now, at.up.id, first, 0)
	at.isFirst = true
	e.notePrefix(at.r, at.up.id)
	e.o.begin(at.r)
	for _, other := range append([]*attempt(nil), e.live[at.r]...) {
		if other != at {
			e.abandon(other)
		}
	}
}

func (e *entry) finished(at *attempt, ok bool, service time.Duration) {
	if !e.settle(at) {
		return
	}
	if !ok {
		e.tracker.Forget(at.up.id)
		e.view(at.up.id).failed = true
		e.again(at, verdict.Unknown(verdict.ReasonUpstreamFailed, "connection lost"))
		return
	}
	e.est.Observe(key(at.r), estimate.Sample{Service: service})
	e.o.end(at.r, outcomeServed)
}

// silenceAfter is the wait from which an attempt without first token counts.
const silenceAfter = 500 * time.Millisecond

// watchSilence feeds the tracker with attempts that wait for a first token.
func (e *entry) watchSilence() {
	silent := make([]*attempt, 0, len(e.live))
	for _, open := range e.live {
		for _, at := range open {
			if !at.isFirst && e.o.now.Sub(at.sentAt) > silenceAfter {
				silent = append(silent, at)
			}
		}
	}
	slices.SortFunc(silent, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	for _, at := range silent {
		// The time in the agent's queue says nothing about the engine.
		if at.exec != nil {
			e.tracker.ObservePending(e.o.now, at.up.id, e.o.now.Sub(at.began))
		}
	}
}
