package gateway

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// residencyWait is how long the controller may hold a question.
	residencyWait = 900 * time.Millisecond
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
		Peer: rpc.GatewayPeer{Notices: g.opts.NoticeAddress, DataCentre: g.opts.DataCentre},
	}
	lost := true
	for ctx.Err() == nil {
		result, err := g.askResidency(ctx, params)
		if err != nil {
			if !lost && ctx.Err() == nil {
				g.opts.Logger.Warn("controller lost", "address", g.opts.Controller.Leader(), "error", err)
			}
			lost = true
			g.opts.Controller.Lost()
			ctxtime.Sleep(ctx, linkRetry)
			continue
		}
		if lost {
			g.opts.Logger.Info("controller answers", "address", g.opts.Controller.Leader(), "term", result.Term)
		}
		lost = false
		if result.Term != params.Term || result.PeersRevision != params.Peers {
			g.setPeers(result.Peers)
		}
		params.Term, params.Revision, params.Peers = result.Term, result.Revision, result.PeersRevision
		g.gateways.Store(int32(result.Gateways))
		g.opts.Controller.Heard(result.Lease)
		g.post(ctx, func(t *tables, now time.Time) bool { return t.applyResidency(result, now) })
	}
}

// callLeader calls a method of the controller: in this process if it holds the
// lease or the holder is not known, and at the holder otherwise.
func callLeader[P, R any](ctx context.Context, g *Gateway, method string, params P, local func(context.Context, P) (R, error)) (result R, err error) {
	addr := g.opts.Controller.Leader()
	if addr == "" || addr == g.opts.Control {
		return local(ctx, params)
	}
	err = g.opts.Caller.Call(ctx, addr, method, params, &result)
	return result, err
}

func (g *Gateway) askResidency(ctx context.Context, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, residencyWait+callTimeout)
	defer cancel()
	return callLeader(ctx, g, rpc.MethodResidency, params, g.opts.Controller.Residency)
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
	_, err := callLeader(ctx, g, rpc.MethodWanted, params, g.opts.Controller.Wanted)
	return err
}
