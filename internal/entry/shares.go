package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// shareAgain is the least time between questions when the demand grows.
	shareAgain = 200 * time.Millisecond
	// shareQuiet is the time between questions of a region that loads nothing.
	// One entry answers all regions, within its limit of control traffic.
	shareQuiet = 2 * time.Second
)

// regionShare is this region's part of the limits of the weight store, which
// all regions of the deployment share. The keeper of the slots in the first
// region by name divides them.
type regionShare struct {
	// divided is set while this entry divides the limits.
	divided *scaling.StoreShares
	// share is the last one got, and asked the time of its question. At first
	// it is nothing, so that a former keeper's share ends before this one's
	// floor is used.
	share scaling.StoreShare
	asked time.Time
	// number and answered are those of the questions.
	number, answered uint64
	// sent is the time of the last question and wanted the demand in it.
	sent    time.Time
	wanted  int
	waiting bool
	// tries picks the entry of the other region that is asked.
	tries int
}

// keepSlots follows the roles around the weight store.
func (c *control) keepSlots(ctx context.Context, now time.Time) {
	k := &c.slotKeeper
	k.assign(c.peers.ring.Owner(roleStoreSlots, ""), c.cfg.name, c.cfg.self.Incarnation, now)
	if k.owner != c.cfg.name {
		return
	}
	regions := k.regions
	if len(regions) == 1 {
		k.broker.SetLimits(now, k.limits.Floor(1))
		return
	}
	if regions[0] == c.cfg.region && k.region.divided == nil {
		k.region.divided = scaling.NewStoreShares(now, k.limits, regions)
	}
	c.askShare(ctx, now, regions[0])
	k.broker.SetLimits(now, k.region.share.At(now.Sub(k.region.asked), k.limits.Floor(len(regions))))
}

// storeRegions lists the regions that share the store, in order.
func storeRegions(cfg controlConfig) []state.Region {
	regions := slices.Collect(maps.Keys(cfg.regions))
	regions = append(regions, cfg.region)
	slices.Sort(regions)
	return regions
}

// askShare asks for a share at intervals, and at once if the demand has grown.
func (c *control) askShare(ctx context.Context, now time.Time, first state.Region) {
	r := &c.slotKeeper.region
	demand := c.slotKeeper.broker.Demand(now)
	wanted, interval := demand.Active+demand.Waiting, scaling.ShareInterval
	if wanted == 0 && r.wanted == 0 {
		interval = shareQuiet
	}
	grown := wanted > r.wanted && now.Sub(r.sent) >= shareAgain
	if r.waiting || !grown && now.Sub(r.sent) < interval {
		return
	}
	r.number++
	r.sent, r.wanted = now, wanted
	params := rpc.StoreShareParams{
		Region: c.cfg.region, Active: demand.Active, Waiting: demand.Waiting, Benefit: demand.Benefit,
		Number: r.number, Answered: r.answered,
	}
	if r.divided != nil {
		shareAnswered{asked: now, result: r.answer(params, now)}.apply(c, now)
		return
	}
	names := ringOf(c.cfg.regions[first]).First(roleStoreSlots, "", len(c.cfg.regions[first]))
	address := c.cfg.regions[first][names[r.tries%len(names)]]
	r.waiting = c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, scaling.ShareInterval)
		defer cancel()
		answered := shareAnswered{asked: now}
		answered.err = c.deps.caller.Call(ctx, address, rpc.MethodStoreShare, params, &answered.result)
		return answered
	})
}

// answer divides the limits anew for a region's question.
func (r *regionShare) answer(p rpc.StoreShareParams, now time.Time) rpc.StoreShareResult {
	if r.divided == nil {
		return rpc.StoreShareResult{}
	}
	share, ok := r.divided.Ask(now, scaling.StoreShareRequest{
		Region: p.Region, Number: p.Number, Answered: p.Answered,
		Demand: scaling.StoreDemand{Active: p.Active, Waiting: p.Waiting, Benefit: p.Benefit},
	})
	return rpc.StoreShareResult{Given: ok, PerSecond: share.PerSecond, AtOnce: share.AtOnce, For: state.Duration(share.For)}
}

// shareAnswered is the answer to a question for a share.
type shareAnswered struct {
	asked  time.Time
	result rpc.StoreShareResult
	err    error
}

func (e shareAnswered) apply(c *control, now time.Time) {
	r := &c.slotKeeper.region
	if e.asked != r.sent {
		return // A former time as keeper of the slots asked.
	}
	r.waiting = false
	if e.err != nil {
		r.tries++
		return
	}
	// The division counts on an answer within the interval.
	if !e.result.Given || now.Sub(e.asked) > scaling.ShareInterval {
		return
	}
	r.answered, r.asked = r.number, e.asked
	r.share = scaling.StoreShare{
		StoreLimits: scaling.StoreLimits{PerSecond: e.result.PerSecond, AtOnce: e.result.AtOnce},
		For:         e.result.For.Std(),
	}
}

// shareAsked is another region's question for its share.
type shareAsked struct {
	params rpc.StoreShareParams
	reply  chan rpc.StoreShareResult
}

func (e shareAsked) apply(c *control, now time.Time) {
	e.reply <- c.slotKeeper.region.answer(e.params, now)
}
