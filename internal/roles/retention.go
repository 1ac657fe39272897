package roles

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// maxHistories bounds the replicas whose gaps an agent remembers; one takes
	// about 600 bytes.
	maxHistories = 2_000
	// burstWindow is the time over which evictions for bursts are bounded.
	burstWindow = 30 * time.Second
)

// retention decides how long the idle replicas of an upstream stay loaded and
// which of them give way to bursts. The agent's control goroutine owns it.
type retention struct {
	cfg       scaling.KeepAliveConfig
	histories map[state.ReplicaKey]*scaling.KeepAlive
	// unknown is the keep-alive while the load time is not known.
	unknown time.Duration
	evictor *scaling.Evictor
	// granted holds the evictions that were allowed in the window, so that one
	// that is asked for on each tick until the engine has carried it out
	// counts once.
	granted map[idleReplica]time.Time
}

// idleReplica is a replica since its last use.
type idleReplica struct {
	key      state.ReplicaKey
	lastUsed time.Time
}

func newRetention(weights settings.Weights, unknown time.Duration) *retention {
	r := &retention{
		evictor: scaling.NewEvictor(scaling.EvictConfig{Window: burstWindow}),
		granted: make(map[idleReplica]time.Time),
	}
	r.unknown = unknown
	r.configure(weights)
	return r
}

// configure changes the weights. Replicas start with new histories.
func (r *retention) configure(weights settings.Weights) {
	r.cfg.IdleWeight, r.cfg.ColdStartWeight = weights.Idle, weights.ColdStart
	r.histories = make(map[state.ReplicaKey]*scaling.KeepAlive)
}

// observe learns from a gap between requests.
func (r *retention) observe(key state.ReplicaKey, gap time.Duration) {
	r.history(key).Observe(gap)
}

func (r *retention) history(key state.ReplicaKey) *scaling.KeepAlive {
	known, ok := r.histories[key]
	if !ok {
		if len(r.histories) >= maxHistories {
			clear(r.histories)
		}
		known = scaling.NewKeepAlive(r.cfg)
		r.histories[key] = known
	}
	return known
}

// keepAlive implements agent.Deps.KeepAlive. The load time is zero if it is not
// known; what a cold start costs is then not known either.
func (r *retention) keepAlive(key state.ReplicaKey, load time.Duration) time.Duration {
	if load <= 0 {
		return r.unknown
	}
	return r.history(key).Value(load)
}

// burst implements account.EarlyEvictionRule.
func (r *retention) burst(now time.Time, victim state.ReplicaKey, use account.Use, _ account.WakeRequest) bool {
	for known, at := range r.granted {
		if now.Sub(at) >= burstWindow {
			delete(r.granted, known)
		}
	}
	asked := idleReplica{victim, use.LastUsed}
	if _, again := r.granted[asked]; again {
		return true
	}
	_, ok := r.evictor.MakeRoom(now, 1, 0, []scaling.Resident{{
		// A wake counts as use while the replica loads, so that it was loaded
		// no later than its last use.
		Key: victim, Size: 1, Loaded: use.LastUsed, LastUsed: use.LastUsed, KeepAlive: use.KeepAlive,
	}})
	if ok {
		r.granted[asked] = now
	}
	return ok
}
