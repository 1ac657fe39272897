package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func (h *home) input(c *control, config *state.ConfigView, now time.Time) scaling.HomeInput {
	in := scaling.HomeInput{Service: startService}
	if model, _, ok := config.Model(h.key.Model); ok {
		in.MinReplicas = model.MinReplicas
	}
	var waiting, sent int
	var work time.Duration
	var rate float64
	for _, demand := range h.demands {
		b := demand.backlog
		sent += b.Sent
		rate += b.Rate
		in.Demands = append(in.Demands, scaling.Demand{
			Waiting: b.Waiting, Work: b.Work.Std(), Rate: b.Rate, Refused: b.Refused, Adapters: b.Adapters,
		})
		for _, n := range b.Waiting {
			waiting += n
		}
		work += b.Work.Std()
	}
	h.spares.observe(rate, now)
	in.Steady = h.spares.rate(now)
	if waiting > 0 {
		in.Service = work / time.Duration(waiting)
	}
	for name, replica := range h.replicas {
		in.Replicas = append(in.Replicas, scaling.Replica{
			Upstream: name,
			State:    replica.at.State,
			ReadyIn:  max(0, replica.readyAt.Sub(now)),
			Slots:    c.homes.factsOf(name).slotsOr(startSlots),
			Slowdown: replica.at.Slowdown,
			Adapters: replica.at.Adapters,
			Draining: config.Drained(name),
		})
	}
	slices.SortFunc(in.Replicas, func(a, b scaling.Replica) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	spread(in.Replicas, sent)
	in.Grants = h.grants(c, config, now)
	return in
}

// spread shares out the requests that entries have sent to a model among its
// ready replicas. An agent's own queue length also counts the requests for its
// other models, and entries balance the replicas of one model by their load.
func spread(replicas []scaling.Replica, sent int) {
	left := 0
	for _, r := range replicas {
		if r.State == state.ReplicaReady && !r.Draining {
			left++
		}
	}
	for i := range replicas {
		if replicas[i].State == state.ReplicaReady && !replicas[i].Draining {
			replicas[i].Queue = sent / left
			sent -= replicas[i].Queue
			left--
		}
	}
}

func (h *home) grants(c *control, config *state.ConfigView, now time.Time) []scaling.Grant {
	region := c.region.View()
	h.expected = 0
	version, _, _ := config.Version(h.key)
	var grants []scaling.Grant
	for _, grant := range region.GrantsOf(h.key.Model) {
		upstream, _, known := config.Upstream(grant.Upstream)
		agent, registered := region.Agent(grant.Upstream)
		until, refused := h.refused[grant.Upstream]
		usable := known && registered && !agent.OnOtherHostThan(upstream.Host) && !grant.Revoked && grant.ReplicaKey == h.key &&
			!config.Drained(grant.Upstream) && (!refused || now.After(until))
		facts := c.homes.factsOf(grant.Upstream)
		loadTime := h.loadTimeBy(facts, version)
		if usable {
			_, replica := h.replicas[grant.Upstream]
			c.askAgent(upstream, agent.Token, replica, now)
			if h.expected == 0 || loadTime < h.expected {
				h.expected = loadTime
			}
		}
		grants = append(grants, scaling.Grant{
			Upstream:   grant.Upstream,
			DataCentre: upstream.DataCentre,
			LoadTime:   loadTime,
			Load:       facts.loadAt(now),
			Usable:     usable,
			Slots:      facts.slotsOr(startSlots),

			SpareRefused: h.spares.isRefused(grant.Upstream, now),
		})
	}
	return grants
}
