package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a home that never hears of the requests that wait at agents,
// or hears of them too late while they fill the replicas.
func TestFollowerReportsSentRequests(t *testing.T) {
	for sent, wait := range map[int]time.Duration{0: pollQuiet, 8: pollQuiet, 9: pollFull} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b := newHomeBench(t)
			b.end()
			b.addPeer("other", "other:1")
			b.peers.setLive([]state.EntryName{"other"})
			b.dirty = true
			b.publish()
			var mu sync.Mutex
			var asked []rpc.DemandParams
			b.network.serve("other:1", map[string]rpc.MethodFunc{
				rpc.MethodDemand: rpc.Method(func(_ context.Context, p rpc.DemandParams) (rpc.DemandResult, error) {
					mu.Lock()
					asked = append(asked, p)
					mu.Unlock()
					time.Sleep(p.Wait.Std())
					return rpc.DemandResult{SetVersion: 5}, nil
				}),
			})
			ctx, stop := context.WithCancel(t.Context())
			gateway := newGatewayBench(t, nil).gateway
			f := &followers{gateway: gateway, control: b.control, caller: b.network, running: ctx, active: make(map[target]chan struct{})}
			route := gateway.routes.of(target{key: testReplica}, gateway.cfg.route)
			route.lastUsed.Store(time.Now().UnixNano())
			route.setReplicas(5, []rpc.ReplicaAt{reported(1, 1, state.ReplicaReady).Replica}, &gateway.loads)
			route.room.outstanding = sent
			f.kick(target{key: testReplica})
			synctest.Wait()
			mu.Lock()
			first := asked[0]
			mu.Unlock()
			g.Expect(first.Backlog.Sent).To(Equal(sent))
			g.Expect(first.Wait.Std()).To(Equal(wait), "two entries share 16 slots")
			stop()
			synctest.Wait()
			time.Sleep(pollQuiet)
		})
	}
}
