package entry

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/abort"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// fullPause is the wait before a request goes on after a replica's queue
	// was full; agents that name a longer time are followed.
	fullPause = 50 * time.Millisecond
	// keptAnswer is the size of answers to claimed requests that are kept
	// for a resend.
	keptAnswer = 4 << 10
)

// execution takes one request from admission to its verdict. One goroutine
// owns it.
type execution struct {
	*gateway
	request  *request
	exchange *exchange
	route    *route

	attempts  int
	lastTried state.UpstreamName
	// mayHaveRun is set by an attempt whose work may have run; no later
	// verdict may then say that nothing ran.
	mayHaveRun bool
	firstToken time.Duration
	// final is set by a refusal that a further attempt can't change.
	final bool
	// forwarded says that the attempt goes to an entry of another region.
	forwarded bool
	// consulted is set once the claim's owner has said what it knows.
	consulted bool
	// lastEvent is the id of the last event that the caller has of a stream
	// that was cut.
	lastEvent string
	// claim is the record id of the open claim of a request that may not be
	// repeated.
	claim string
	// kept collects the answer of a claimed request.
	kept keptBody
}

// run returns the verdict of the request. The answer has been relayed if the
// verdict says that it ran.
func (e *execution) run(ctx context.Context, current *view) *verdict.Verdict {
	return e.aboutWork(e.forward(ctx, e.runOnce(ctx, current)))
}

func (e *execution) runOnce(ctx context.Context, current *view) *verdict.Verdict {
	e.route = e.routes.of(e.request.target, e.cfg.route)
	if refusal := e.admit(current, e.request); refusal != nil {
		return refusal
	}
	defer e.release(e.request)
	if t := e.request.target; t.service != "" && len(current.services[t.service]) == 0 {
		return verdict.Refuse(verdict.ReasonNoCapacity, "no upstream of this region runs the service")
	}
	e.route.lastUsed.Store(e.request.arrived.UnixNano())
	e.route.arrivals.add(e.request.arrived)
	e.route.fillBlocks(e.request)
	e.follow(current)
	v := e.attemptAll(ctx)
	if v.Execution == verdict.NotRun && e.mayHaveRun {
		return v.WithExecution(verdict.MayHaveRun)
	}
	return v
}

// follow keeps the replica set of the request's target up to date: by the
// model's home, or from the configuration for plain services.
func (e *execution) follow(current *view) {
	t := e.request.target
	if t.service == "" {
		e.touch(t)
		return
	}
	replicas := current.services[t.service]
	set := e.route.set.Load()
	if set == nil || !sameReplicas(set.replicas, replicas) {
		e.route.setReplicas(0, replicas, &e.loads)
	}
}

func sameReplicas(a, b []rpc.ReplicaAt) bool {
	return slices.EqualFunc(a, b, func(x, y rpc.ReplicaAt) bool {
		return x.Upstream == y.Upstream && x.Agent == y.Agent && x.TrafficAddr == y.TrafficAddr
	})
}

func (e *execution) attemptAll(ctx context.Context) *verdict.Verdict {
	for {
		v := e.attempt(ctx)
		if v.Execution == verdict.Ran || e.exchange.answer.started {
			return v
		}
		if v.Execution == verdict.MayHaveRun {
			e.mayHaveRun = true
		}
		pause, again := e.next(v)
		if !again {
			return v
		}
		if !ctxtime.Sleep(ctx, pause) {
			return endedWaiting(ctx, v)
		}
		// The refusal may come from an agent that has been restarted since the
		// replica set was learned.
		e.follow(e.view())
	}
}

// next decides whether a further attempt follows v and after which pause. A
// refusal by a replica that was full, draining or not loaded is part of
// waiting and takes nothing from the retry budget; the deadline bounds it.
func (e *execution) next(v *verdict.Verdict) (time.Duration, bool) {
	if e.final {
		return 0, false
	}
	if v.Execution == verdict.NotRun && isWaiting(v.Reason) {
		return max(fullPause, v.RetryAfter), true
	}
	pause, again := e.retryAfter(e.request, v, max(1, e.attempts), e.exchange.answer.started)
	if again {
		e.sink.retried(e.request, v.Reason)
	}
	return pause, again
}

// isWaiting reports whether a replica's refusal means that the request goes
// on waiting.
func isWaiting(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonQueueFull, verdict.ReasonDraining, verdict.ReasonNoReplica:
		return true
	default:
		return false
	}
}

// attempt waits for a place, claims the request if it may not be repeated and
// sends it once, or twice if it is hedged.
func (e *execution) attempt(ctx context.Context) *verdict.Verdict {
	if refusal := e.wait(ctx); refusal != nil {
		return refusal
	}
	v := e.send(ctx)
	e.route.room.leave(v.Reason == verdict.ReasonQueueFull)
	return v
}

// wait holds the request until a replica may take it.
func (e *execution) wait(ctx context.Context) *verdict.Verdict {
	set := e.route.set.Load()
	if set == nil || len(set.replicas) == 0 {
		e.route.coldSince.CompareAndSwap(0, e.request.arrived.UnixNano())
		e.kick(e.request.target)
		if e.route.noCapacity.Load() && (e.isForwarded() || e.mayMove()) {
			e.final = true
			return noUpstream()
		}
	}
	req := e.request
	if refusal := e.takeRoom(req); refusal != nil {
		return refusal
	}
	defer e.waiting.give(state.Bytes(len(req.body)))
	entered := time.Now()
	refusal := e.route.room.enter(ctx, admission.Item{
		ID:       req.number,
		Caller:   req.caller.Name,
		Weight:   req.caller.Weight,
		Class:    req.class,
		Arrived:  req.arrived,
		Deadline: req.deadline,
		Cost:     req.cost,
		Long:     req.long,
		Size:     state.Bytes(len(req.body)),
		Key:      req.target.key,
		Adapter:  req.target.adapter,
	}, time.Duration(e.route.loadWait.Load()), e.isForwarded() || e.movable())
	if refusal == nil {
		e.sink.waited(req, time.Since(entered))
		return nil
	}
	e.route.forgetCold()
	// What another region may serve does not wait for a retry here.
	e.final = e.final || refusal.Reason == verdict.ReasonNoCapacity
	if refusal.Reason == verdict.ReasonDeadlineUnmet && (set == nil || len(set.replicas) == 0) {
		e.route.refused.Add(1)
		e.kick(req.target)
	}
	return refusal
}

// send makes one attempt at a chosen replica.
func (e *execution) send(ctx context.Context) *verdict.Verdict {
	now := time.Now()
	remote := e.remoteAllowed(now, state.Bytes(len(e.request.body)))
	replica, load, ok := e.route.pick(now, e.request, &e.cfg.route, e.lastTried, remote)
	if !ok {
		e.kick(e.request.target)
		return verdict.Refuse(verdict.ReasonNoReplica, "no replica is ready")
	}
	e.attempts++
	e.lastTried = replica.Upstream
	if e.attempts == 1 {
		e.countAttempt()
	}
	if e.request.idempotent {
		return e.hedged(ctx, replica, load)
	}
	if v := e.openClaim(ctx, replica); v != nil {
		e.final = true
		return v
	}
	a := e.do(ctx, replica, load)
	v := e.relay(ctx, a)
	e.closeClaim(v, a.response)
	return v
}

// finish turns the verdict into what goa needs: nothing if the answer has
// been sent, an error if there is none yet. A cut answer is aborted.
func (e *execution) finish(v *verdict.Verdict) error {
	if v.Execution == verdict.Ran && v.Reason == verdict.ReasonOK {
		return nil
	}
	if e.exchange.answer.started {
		abort.Response(e.exchange.answer, e.exchange.request)
	}
	return v
}

// endedWaiting is the verdict of a request whose context ended during a pause
// between attempts; last is the verdict of the attempt before.
func endedWaiting(ctx context.Context, last *verdict.Verdict) *verdict.Verdict {
	reason, _ := endOf(ctx)
	return &verdict.Verdict{Execution: last.Execution, Reason: reason, Detail: "while waiting after: " + string(last.Reason)}
}
