package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// residencyWait is how long the controller may hold a question.
	residencyWait = 500 * time.Millisecond
	// callTimeout bounds a call to the controller beyond that.
	callTimeout = 700 * time.Millisecond
	// linkRetry is the time between calls that fail.
	linkRetry = 150 * time.Millisecond
	// wantedEvery is the time between reports of demand.
	wantedEvery = 500 * time.Millisecond
	// wantedPace is the least time between two.
	wantedPace = 10 * time.Millisecond
)

// followResidency keeps asking the controller what the upstreams hold.
func (g *Gateway) followResidency(ctx context.Context) {
	params := rpc.ResidencyParams{
		Gateway: g.opts.Name, Wait: state.Duration(residencyWait),
		Peer: rpc.GatewayPeer{NoticeAddress: g.opts.NoticeAddress, DataCentre: g.opts.DataCentre},
	}
	lost := true
	for ctx.Err() == nil {
		leader := g.opts.Controller.Leader()
		params.StoreAge = state.Duration(time.Since(*g.storeRead.Load()))
		result, err := g.askResidency(ctx, leader, params)
		if err != nil || result.Term == 0 {
			if !lost && ctx.Err() == nil {
				g.opts.Logger.Warn("controller lost", "address", leader.Control, "holder", leader.Holder, "answers", result.Holder, "error", err)
			}
			lost = true
			if hasEnded(leader, result, err) {
				g.opts.Controller.ObserveEnd(leader.Holder)
			}
			g.opts.Controller.RequestLeaseRead()
			ctxtime.Sleep(ctx, linkRetry)
			continue
		}
		if lost {
			g.opts.Logger.Info("controller answers", "address", leader.Control, "term", result.Term)
		}
		lost = false
		g.takeResidency(ctx, leader, &params, result)
	}
}

// takeResidency takes an answer of the controller, and prepares the next
// question.
func (g *Gateway) takeResidency(ctx context.Context, leader controller.Leader, params *rpc.ResidencyParams, result rpc.ResidencyResult) {
	newTerm := result.Term != params.Term
	other := leader.Control != "" && leader.Control != g.opts.Control
	g.opts.Controller.ObserveOffset(result.LeaseOffset)
	params.Promised = 0
	if other {
		if result.Unrenewed != 0 && g.opts.Controller.Promise(ctx, result.LeaseOffset) {
			params.Promised = result.Unrenewed
		}
		g.takeRelayed(result, newTerm)
	}
	if newTerm || result.PeersRevision != params.PeersRevision {
		g.setPeers(result.Peers)
	}
	params.Term, params.Revision, params.PeersRevision = result.Term, result.Revision, result.PeersRevision
	g.gateways.Store(int32(result.Gateways))
	g.post(ctx, func(t *tables, now time.Time) bool {
		if other && len(result.Upstreams) > 0 {
			g.applyUpstreams(t, registryPage(result.Upstreams), false, false, now)
		}
		return t.applyResidency(result, now)
	})
}

// hasEnded reports whether what came of a question to the holder of the lease
// proves that it acts no more: nothing listens at its address, or the process
// there has another name.
func hasEnded(leader controller.Leader, result rpc.ResidencyResult, err error) bool {
	if leader.Holder == "" {
		return false
	}
	if err != nil {
		return errors.Is(err, rpc.ErrConnectionRefused)
	}
	return result.Holder != leader.Holder
}

// callLeader calls a method of the controller: in this process if it holds the
// lease or the holder is not known, and at the holder otherwise.
func callLeader[P, R any](ctx context.Context, g *Gateway, leader controller.Leader, method string, params P, local func(context.Context, P) (R, error)) (result R, err error) {
	if leader.Control == "" || leader.Control == g.opts.Control {
		return local(ctx, params)
	}
	err = g.opts.Caller.Call(ctx, leader.Control, method, params, &result)
	return result, err
}

func (g *Gateway) askResidency(ctx context.Context, leader controller.Leader, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, residencyWait+callTimeout)
	defer cancel()
	return callLeader(ctx, g, leader, rpc.MethodResidency, params, g.opts.Controller.Residency)
}

// reportWanted tells the controller what callers want.
func (g *Gateway) reportWanted(ctx context.Context) {
	ticker := time.NewTicker(wantedEvery)
	defer ticker.Stop()
	empty := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wanted.kick:
		case <-ticker.C:
		}
		list := g.wanted.report(time.Now())
		if len(list) == 0 && empty {
			continue
		}
		err := g.sendWanted(ctx, rpc.WantedParams{Gateway: g.opts.Name, Targets: list})
		empty = len(list) == 0 && err == nil
		ctxtime.Sleep(ctx, wantedPace)
	}
}

func (g *Gateway) sendWanted(ctx context.Context, params rpc.WantedParams) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := callLeader(ctx, g, g.opts.Controller.Leader(), rpc.MethodWanted, params, g.opts.Controller.ReportDemand)
	return err
}
