package entry

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// claimRouter finds the owner of a claim's shard: a region by rendezvous
// hashing over the regions, then an entry of it. When an owner can't be
// reached the next entry of its region takes over, and then the next region,
// which is safe because log order decides between owners.
type claimRouter struct {
	process state.ProcessID
	name    state.EntryName
	region  state.Region
	// regions lists the control addresses of the other regions' entries.
	regions map[state.Region]map[state.EntryName]string
	view    func() *view
	local   *claimShards
	caller  rpc.Caller
	// running ends with the process.
	running     context.Context
	unreachable unreachableOwners
	// telling counts the outcomes on their way to an owner.
	telling atomic.Int64
}

func (r *claimRouter) self() state.ProcessID { return r.process }

// regionsFor lists the regions in the order in which they own a shard.
func (r *claimRouter) regionsFor(shard int) []state.Region {
	names := make([]state.EntryName, 0, len(r.regions)+1)
	names = append(names, state.EntryName(r.region))
	for region := range r.regions {
		names = append(names, state.EntryName(region))
	}
	ordered := make([]state.Region, 0, len(names))
	for _, name := range membership.NewRing(names).First(membership.RoleClaimOwner, strconv.Itoa(shard), len(names)) {
		ordered = append(ordered, state.Region(name))
	}
	return ordered
}

// owners lists the addresses to ask about a shard; an empty one is this
// process. The second of each region serves the shard until the region has
// seen that the first is gone.
func (r *claimRouter) owners(shard int) []string {
	key := strconv.Itoa(shard)
	current := r.view()
	var addresses []string
	for _, region := range r.regionsFor(shard) {
		ring, known := current.ring, current.addresses
		if region != r.region {
			ring, known = ringOf(r.regions[region]), r.regions[region]
		}
		for _, name := range ring.First(membership.RoleClaimOwner, key, ownersPerRegion) {
			addresses = append(addresses, r.addressOf(name, known))
		}
	}
	return addresses
}

// ownersPerRegion is how many entries of a region are asked about a shard.
const ownersPerRegion = 2

func ringOf(known map[state.EntryName]string) *membership.Ring {
	names := make([]state.EntryName, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	return membership.NewRing(names)
}

func (r *claimRouter) addressOf(name state.EntryName, known map[state.EntryName]string) string {
	if name == r.name {
		return ""
	}
	return known[name]
}

// askOwner asks the owners of a shard in their order until one can be reached;
// local is this process as an owner.
func askOwner[P, R any](ctx context.Context, r *claimRouter, shard int, method string, params P,
	local func(context.Context, P) (R, error),
) (R, error) {
	var none R
	last := errors.New("no owner of the claim's shard is known")
	for _, address := range r.unreachable.last(r.owners(shard), time.Now()) {
		if address == "" {
			return local(ctx, params)
		}
		var result R
		err := r.caller.Call(ctx, address, method, params, &result)
		if ctx.Err() != nil {
			// The end of the own wait says nothing about the owner.
			return result, err
		}
		r.unreachable.note(address, errors.Is(err, rpc.ErrUnreachable), time.Now())
		if !ownerGone(err) {
			return result, err
		}
		last = err
	}
	return none, last
}

// claim implements claimClient.
func (r *claimRouter) claim(ctx context.Context, params rpc.ClaimParams) (rpc.ClaimResult, error) {
	shard := claims.ShardOf(params.Claim.Caller, params.Claim.Key)
	return askOwner(ctx, r, shard, rpc.MethodClaim, params, r.local.ask)
}

// ownerGone reports whether the next owner may be asked instead. A claim that
// the lost one still gets into the log is never used: its grant reached nobody.
func ownerGone(err error) bool {
	return errors.Is(err, rpc.ErrUnreachable) || errors.Is(err, rpc.ErrConnectionLost)
}

// unreachableFor is how long an owner that can't be reached is asked after the others.
// On a path that is cut silently each attempt takes the second of a connection's
// set-up, and the two owners of a region use up claimWait.
const unreachableFor = 10 * time.Second

// unreachableOwners remembers the owners that could not be reached. Any owner may be
// asked for a claim, since log order decides between them.
type unreachableOwners struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// note remembers whether the owner at an address could not be reached.
func (o *unreachableOwners) note(address string, gone bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !gone {
		delete(o.since, address)
		return
	}
	if o.since == nil {
		o.since = make(map[string]time.Time)
	}
	// Addresses of entries that were replaced are not asked any more.
	maps.DeleteFunc(o.since, func(_ string, since time.Time) bool { return now.Sub(since) > 2*unreachableFor })
	o.since[address] = now
}

// last moves the owners that could not be reached behind the others. One
// request per unreachableFor tries such an owner in its place.
func (o *unreachableOwners) last(addresses []string, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.since) == 0 {
		return addresses
	}
	var gone []string
	reached := slices.DeleteFunc(addresses, func(address string) bool {
		since, noted := o.since[address]
		if noted && now.Sub(since) >= unreachableFor {
			o.since[address] = now
			return false
		}
		if noted {
			gone = append(gone, address)
		}
		return noted
	})
	return append(reached, gone...)
}

// lookupTimeout bounds the question whether a key was ever claimed, which only
// a refusal waits for.
const lookupTimeout = 300 * time.Millisecond

// unseen implements claimClient.
func (r *claimRouter) unseen(caller state.CallerName, key string, by time.Time) bool {
	ctx, cancel := context.WithTimeout(r.running, min(lookupTimeout, time.Until(by)))
	defer cancel()
	params := rpc.ClaimLookupParams{Caller: caller, Key: key}
	result, err := askOwner(ctx, r, claims.ShardOf(caller, key), rpc.MethodClaimLookup, params, r.local.lookup)
	return err == nil && result.Unseen
}

// outcomeTimeout bounds telling an owner how a claim ended.
const outcomeTimeout = 5 * time.Second

// outcome implements claimClient.
func (r *claimRouter) outcome(params rpc.ClaimOutcomeParams) {
	r.telling.Add(1)
	go func() {
		defer r.telling.Add(-1)
		ctx, cancel := context.WithTimeout(r.running, outcomeTimeout)
		defer cancel()
		shard := claims.ShardOf(params.Caller, params.Key)
		from := rpc.ClaimOutcomeReport{ClaimOutcomeParams: params, From: r.process}
		// An outcome that no owner takes costs a resend a question to the agent.
		_, _ = askOwner(ctx, r, shard, rpc.MethodClaimDone, from, r.local.outcome)
	}()
}

// flush waits at a planned stop until the owners have the outcomes of the own
// claims, and the log those that this process holds back as an owner.
func (r *claimRouter) flush(ctx context.Context) {
	for r.telling.Load() > 0 && ctxtime.Sleep(ctx, claimTick) {
	}
	r.local.flush(ctx)
}
