package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// residencyWait is how long the controller may hold a long-poll request.
	residencyWait = 500 * time.Millisecond
	// callTimeout bounds a call to the controller, not counting residencyWait.
	callTimeout = 700 * time.Millisecond
	// callRetryDelay is the delay after a failed call.
	callRetryDelay = 150 * time.Millisecond
	// demandInterval is the interval between reports of demand.
	demandInterval = 500 * time.Millisecond
	// minDemandInterval is the minimum delay between two reports.
	minDemandInterval = 10 * time.Millisecond
)

// followResidency long-polls the controller for what the upstreams hold.
func (g *Gateway) followResidency(ctx context.Context) {
	params := rpc.ResidencyParams{
		Gateway: g.opts.Name, Wait: state.Duration(residencyWait),
		Peer: rpc.GatewayPeer{NoticeAddress: g.opts.NoticeAddress, DataCentre: g.opts.DataCentre},
	}
	lost := true
	for ctx.Err() == nil {
		leader := g.opts.Controller.Leader()
		g.prepareResidency(&params)
		params.Loads, params.LoadsRevision = g.spillover != nil, g.spillover.revision()
		sentAt := boottime.Now()
		result, err := g.requestResidency(ctx, leader, params)
		if err != nil || result.Term == 0 {
			if !lost && ctx.Err() == nil {
				g.opts.Logger.Warn("controller lost", "address", leader.Control, "holder", leader.Holder, "answers", result.Holder, "error", err)
			}
			lost = true
			if hasEnded(leader, result, err) {
				g.opts.Controller.ObserveEnd(leader.Holder)
			}
			g.opts.Controller.RequestLeaseRead()
			ctxtime.Sleep(ctx, callRetryDelay)
			continue
		}
		if lost {
			g.opts.Logger.Info("controller answers", "address", leader.Control, "term", result.Term)
		}
		lost = false
		g.spillover.apply(result.Loads, sentAt)
		g.handleResidency(ctx, leader, &params, result)
		if age := result.ManifestConfirmedAge; age != nil {
			// The controller computed the age after the request was sent.
			g.post(ctx, func(t *tables, _ time.Time) bool {
				t.confirmManifest(fleet.Version(result.Manifest), sentAt.Add(-age.Std()))
				return false
			})
		}
	}
}

// handleResidency processes a response of the controller and updates params for
// the next request.
func (g *Gateway) handleResidency(ctx context.Context, leader controller.Leader, params *rpc.ResidencyParams, result rpc.ResidencyResult) {
	newTerm := result.Term != params.Term
	remote := leader.Control != "" && leader.Control != g.opts.Control
	lease := fleet.LogPosition{Epoch: fleet.LogEpoch(result.LeaseEpoch), Offset: result.LeaseOffset}
	g.opts.Controller.ObservePosition(lease)
	params.Promised = 0
	relayed := false
	if remote {
		if result.Unrenewed != 0 && g.opts.Controller.Promise(ctx, lease) {
			params.Promised = result.Unrenewed
		}
		relayed = g.applyRelayed(result, newTerm)
	}
	if newTerm {
		g.repeatAnswers()
	}
	if newTerm || result.PeersRevision != params.PeersRevision {
		g.setPeers(result.Peers)
	}
	if newTerm || result.QuarantineRevision != params.QuarantineRevision {
		g.crashes.applyQuarantine(result, time.Now())
	}
	params.Term, params.Revision, params.PeersRevision = result.Term, result.Revision, result.PeersRevision
	params.QuarantineRevision = result.QuarantineRevision
	g.gatewayCount.Store(int32(result.Gateways))
	answeredAt := time.Now()
	g.controllerAnsweredAt.Store(&answeredAt)
	g.post(ctx, func(t *tables, now time.Time) bool {
		if relayed && len(result.Upstreams) > 0 {
			g.applyUpstreams(t, registryPage(result.Upstreams), false, false, now)
		}
		return t.applyResidency(result, now)
	})
}

// hasEnded reports whether the result of a call to the lease holder proves that it
// no longer acts: nothing listens at its address, or the process there has another
// name.
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
// lease or the holder is unknown, and at the holder otherwise.
func callLeader[P, R any](ctx context.Context, g *Gateway, leader controller.Leader, method string, params P, local func(context.Context, P) (R, error)) (result R, err error) {
	if leader.Control == "" || leader.Control == g.opts.Control {
		return local(ctx, params)
	}
	err = g.opts.Caller.Call(ctx, leader.Control, method, params, &result)
	return result, err
}

func (g *Gateway) requestResidency(ctx context.Context, leader controller.Leader, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, residencyWait+callTimeout)
	defer cancel()
	params.Unpacks = leader.Control != g.opts.Control
	result, err := callLeader(ctx, g, leader, rpc.MethodResidency, params, g.opts.Controller.Residency)
	if err != nil {
		return result, err
	}
	return result, result.Unpack()
}

// reportDemand sends the demand for models and adapters to the controller, at
// intervals and as soon as a request has to wait.
func (g *Gateway) reportDemand(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	empty := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.demand.reportNow:
		case <-ticker.C:
		}
		now := time.Now()
		params := rpc.WantedParams{Gateway: g.opts.Name, Targets: g.demand.report(now), Kinds: g.spillover.report(now)}
		isEmpty := len(params.Targets) == 0 && len(params.Kinds) == 0
		if isEmpty && empty {
			continue
		}
		err := sendReport(ctx, g, rpc.MethodWanted, params, g.opts.Controller.ReportDemand)
		empty = isEmpty && err == nil
		ctxtime.Sleep(ctx, minDemandInterval)
	}
}

// sendReport sends a report to the controller and waits for its receipt.
func sendReport[P, R any](ctx context.Context, g *Gateway, method string, params P, local func(context.Context, P) (R, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := callLeader(ctx, g, g.opts.Controller.Leader(), method, params, local)
	return err
}
