package account_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// sameSize gives every model the same footprint.
type sameSize struct{ catalogue }

func (sameSize) Version(k state.ReplicaKey) (state.ModelVersion, bool) {
	return state.ModelVersion{Model: k.Model, Name: k.Version, Weights: 9, KVHeadroom: 1}, true
}

// BenchmarkTick is a tick with nothing to do but to look at all replicas.
func BenchmarkTick(b *testing.B) {
	for _, replicas := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			memory := state.Bytes(10 * replicas)
			a := account.New(account.Config{
				Upstream: upstream, Memory: memory, Fencing: state.FencingEnforced,
			}, sameSize{}, nil)
			a.Register(1, state.Intent{})
			status := platform.EngineStatus{Incarnation: "1", Memory: memory}
			var grants []state.Grant
			for i := range replicas {
				k := state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("m%d", i)), Version: "v1"}
				grants = append(grants, state.Grant{ID: state.Offset(i), ReplicaKey: k, Upstream: upstream})
				status.Replicas = append(status.Replicas, platform.EngineReplica{ReplicaKey: k, State: state.ReplicaReady})
			}
			a.SetGrants(grants)
			a.Observe(now, a.Listing(), status)
			use := func(state.ReplicaKey, state.AdapterName) account.Use { return account.Use{KeepAlive: time.Hour} }
			a.Result(now, a.Tick(now, use)[0].(account.SendOrder).ID, account.Done)
			a.Observe(now, a.Listing(), status)
			b.ReportAllocs()
			for b.Loop() {
				if len(a.Tick(now, use)) > 0 {
					b.Fatal("the tick ordered something")
				}
			}
		})
	}
}
