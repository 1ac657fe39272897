package agent

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	decide "github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// registrationPause is about the time that a restarted agent takes to register
// and its registration to reach the entries.
const registrationPause = time.Second

var (
	errDeadline = errors.New("deadline exceeded")
	errShutdown = errors.New("agent shut down")
)

// ServeHTTP answers a request of an entry.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	// The connection may still have the write deadline of its last request.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	c, refusal := a.readCall(w, r, now)
	defer a.bodies.Add(-c.reserved)
	if refusal == nil {
		refusal = a.check(c, r)
	}
	if refusal != nil {
		if c.claimed {
			a.claims.refuse(c.claim)
		}
		a.refuse(w, refusal)
		return
	}
	if !c.claimed {
		a.serve(w, r, c)
		return
	}
	seen, refusal := a.claims.begin(c.claim)
	if seen != nil {
		a.answerSeen(w, seen)
		return
	}
	if refusal != nil {
		a.refuse(w, refusal)
		return
	}
	a.serve(w, r, c)
}

// check refuses what must not run here at this time.
func (a *Agent) check(c *call, r *http.Request) *verdict.Verdict {
	view := a.view.Load()
	if view.state == rpc.AgentDraining {
		return verdict.Refuse(verdict.ReasonDraining, "the upstream is draining")
	}
	if a.service {
		return c.checkAgent(r, view)
	}
	if _, ok := view.ready[c.item.Key]; !ok {
		return verdict.Refuse(verdict.ReasonNoReplica, "the model version is not ready here")
	}
	return c.checkAgent(r, view)
}

func (c *call) checkAgent(r *http.Request, view *view) *verdict.Verdict {
	text := r.Header.Get(HeaderAgent)
	if !c.claimed {
		return nil
	}
	if view.token == state.NoOffset || text != strconv.FormatInt(int64(view.token), 10) {
		// The entry tries again with a claim that names the present one.
		return verdict.Refuse(verdict.ReasonNotReady, "the claim names another registration").WithRetryAfter(registrationPause)
	}
	return nil
}

// serve queues a request, runs it and reports how its claim ended.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request, c *call) {
	refusal := a.enter(c)
	if refusal == nil {
		defer a.exit(c)
		refusal = a.queueUp(r.Context(), c)
	}
	if refusal != nil {
		if c.claimed {
			a.claims.end(c.claim, rpc.ClaimRefused, nil)
		}
		a.refuse(w, refusal)
		return
	}
	defer func() { a.dispatcher.finish(time.Now(), c.item) }()
	a.deps.Counters.Add("agent_requests_started_total", 1)
	a.run(w, r, c)
}

// enter keeps the replica and the adapter from being unloaded.
func (a *Agent) enter(c *call) *verdict.Verdict {
	if a.service {
		return nil
	}
	now := time.Now()
	replica := a.usages.of(target{key: c.item.Key})
	gap, ok := replica.acquire(now)
	if !ok {
		return verdict.Refuse(verdict.ReasonNoReplica, "the replica is being unloaded")
	}
	a.noteGap(c.item.Key, gap)
	if c.item.Adapter == "" {
		return nil
	}
	if _, ok := a.usages.of(target{c.item.Key, c.item.Adapter}).acquire(now); !ok {
		replica.release(now)
		return verdict.Refuse(verdict.ReasonNoReplica, "the adapter is being unloaded")
	}
	return nil
}

func (a *Agent) exit(c *call) {
	if a.service {
		return
	}
	now := time.Now()
	a.usages.of(target{key: c.item.Key}).release(now)
	if c.item.Adapter != "" {
		a.usages.of(target{c.item.Key, c.item.Adapter}).release(now)
	}
}

// queueUp waits until the request may start. It returns a refusal if it never
// will; the work was not run then.
func (a *Agent) queueUp(ctx context.Context, c *call) *verdict.Verdict {
	offered := time.Now()
	waiter, refusal := a.dispatcher.offer(offered, c.item)
	if refusal != nil {
		return refusal
	}
	c.item = waiter.item
	if !a.isReady(c.item) {
		a.wantAdapter(c.item)
	}
	select {
	case refusal = <-waiter.decided:
		if refusal == nil {
			a.deps.Meter.QueueWait(c.item.Class, time.Since(offered))
		}
		return refusal
	case <-ctx.Done():
	}
	if a.dispatcher.abandon(time.Now(), waiter) {
		return verdict.Refuse(verdict.ReasonCallerGone, "the caller left before the start")
	}
	if refusal = <-waiter.decided; refusal != nil {
		return refusal
	}
	a.dispatcher.finish(time.Now(), c.item)
	return verdict.Refuse(verdict.ReasonCallerGone, "the caller left before the start")
}

// isReady reports whether a queued item's replica and adapter are loaded.
func (a *Agent) isReady(it admission.Item) bool {
	if a.service || it.Adapter == "" {
		return true
	}
	return a.view.Load().ready[it.Key][it.Adapter]
}

// wantAdapter requests the load of an adapter. If the event queue is full, the
// next tick of the control goroutine finds the request.
func (a *Agent) wantAdapter(it admission.Item) {
	a.missing.Store(target{it.Key, it.Adapter}, it.Deadline)
	select {
	case a.control.events <- func() {}:
	default:
	}
}

// refuse answers with a verdict.
func (a *Agent) refuse(w http.ResponseWriter, v *verdict.Verdict) {
	a.setLoad(w.Header())
	a.deps.Counters.Add("agent_refusals_total", 1)
	v.WriteHTTP(w)
}

// answerSeen answers a request whose claim was seen before.
func (a *Agent) answerSeen(w http.ResponseWriter, seen *rpc.ClaimStatusResult) {
	v := decide.RedispatchVerdict(seen.State)
	if seen.Done != nil {
		if first := verdict.OfStatus(seen.Done.Status); first.Execution != verdict.Ran {
			a.refuse(w, first)
			return
		}
	}
	if seen.State != rpc.ClaimRan || seen.Done == nil || !seen.Done.AnswerKept {
		a.refuse(w, v)
		return
	}
	h := w.Header()
	a.setLoad(h)
	v.SetHeaders(h)
	if seen.Done.ContentType != "" {
		h.Set("Content-Type", seen.Done.ContentType)
	}
	w.WriteHeader(seen.Done.Status)
	// A write error has no recipient but the entry that left.
	_, _ = w.Write(seen.Done.Answer)
}

// setLoad reports the load to the entry.
func (a *Agent) setLoad(h http.Header) {
	d := a.dispatcher
	buf := make([]byte, 0, 80)
	buf = append(buf, "queue="...)
	buf = strconv.AppendInt(buf, d.queued.Load(), 10)
	buf = append(buf, " running="...)
	buf = strconv.AppendInt(buf, d.running.Load(), 10)
	buf = append(buf, " short_wait_ms="...)
	buf = strconv.AppendInt(buf, d.shortWait().Milliseconds(), 10)
	buf = append(buf, " agent="...)
	buf = strconv.AppendInt(buf, int64(a.view.Load().token), 10)
	h.Set(HeaderLoad, string(buf))
}

// view is the part of the control state that traffic reads. It is immutable.
type view struct {
	state rpc.AgentState
	token state.FencingToken
	ready map[state.ReplicaKey]map[state.AdapterName]bool
}

func (v *view) equal(other *view) bool {
	if v.state != other.state || v.token != other.token || len(v.ready) != len(other.ready) {
		return false
	}
	for key, adapters := range v.ready {
		known, ok := other.ready[key]
		if !ok || !maps.Equal(adapters, known) {
			return false
		}
	}
	return true
}
