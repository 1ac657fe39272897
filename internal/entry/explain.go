package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

var explainColumns = []oplang.Column{text("step"), text("finding")}

// explanation collects the steps of an answer to "explain".
type explanation struct{ rows [][]oplang.Value }

func (e *explanation) add(step, format string, args ...any) {
	e.rows = append(e.rows, []oplang.Value{oplang.Text(step), oplang.Text(fmt.Sprintf(format, args...))})
}

// Explain implements oplang.Source.
func (s source) Explain(ctx context.Context, subject, name string) (oplang.Table, error) {
	if refusal := s.entry.control.view().unready(); refusal != nil {
		return oplang.Table{}, refusal
	}
	var e explanation
	var err error
	if subject == "model" {
		err = s.explainModel(ctx, &e, state.ModelName(name))
	} else {
		err = s.explainRequest(&e, name)
	}
	return oplang.Table{Columns: explainColumns, Rows: e.rows}, err
}

func (s source) explainModel(ctx context.Context, e *explanation, name state.ModelName) error {
	v := s.entry.control.view()
	model, revision, ok := v.config.Model(name)
	if !ok {
		return verdict.Refuse(verdict.ReasonNotFound, "no such model: "+string(name))
	}
	e.add("configuration", "active version %q, %d to %d replicas per region, revision %d",
		model.Active, model.MinReplicas, model.MaxReplicas, revision)
	if held, ok := v.region.Lease(); ok {
		e.add("decider", "%s holds the lease since offset %d", held.Holder, held.Epoch)
	} else {
		e.add("decider", "no entry holds the lease; no grants are made")
	}
	grants := v.region.GrantsOf(name)
	e.add("grants", "%d of %d", len(grants), model.MaxReplicas)
	for _, g := range grants {
		e.add("grant", "version %s on %s (record %d)%s%s", g.Version, g.Upstream, g.ID,
			mark(g.Revoked, ", to be given back"), mark(v.config.Drained(g.Upstream), ", drained"))
	}
	key := state.ReplicaKey{Model: name, Version: model.Active}
	steps, err := exchangeEvent(ctx, s.entry.control, func(reply chan []string) event {
		return homeExplained{key: key, reply: reply}
	})
	if err != nil {
		return verdict.Refuse(verdict.ReasonNotReady, "the home did not answer")
	}
	home := v.ring.Owner("home", homeKey(key))
	e.add("home", "%s%s", home, mark(home != s.entry.control.cfg.name, "; the steps below are this entry's own"))
	for _, step := range steps {
		e.add("home", "%s", step)
	}
	return nil
}

func mark(is bool, words string) string {
	if is {
		return words
	}
	return ""
}

// homeExplained asks for what this entry knows as the home of a model.
type homeExplained struct {
	key   state.ReplicaKey
	reply chan []string
}

func (e homeExplained) apply(c *control, now time.Time) {
	h, ok := c.homes.byKey[e.key]
	if !ok {
		e.reply <- []string{"no demand and no replica is known here"}
		return
	}
	var steps []string
	for entry, demand := range h.demands {
		steps = append(steps, fmt.Sprintf("demand of %s: waiting %v (high, normal, low), predicted work %s, %.1f requests/s",
			entry, demand.backlog.Waiting, demand.backlog.Work.Std(), demand.backlog.Rate))
	}
	for name, replica := range h.replicas {
		steps = append(steps, fmt.Sprintf("replica on %s: %s", name, replica.at.State))
	}
	for name, until := range h.refused {
		steps = append(steps, fmt.Sprintf("%s refused to load; it is asked again in %s", name, until.Sub(now).Round(time.Millisecond)))
	}
	if h.decision.NoReplica {
		steps = append(steps, "work waits, but no grant is usable")
	}
	for _, grant := range c.region.View().GrantsOf(e.key.Model) {
		steps = append(steps, fmt.Sprintf("expected load time on %s: %s (%s)", grant.Upstream,
			h.loadTimeOn(c, grant.Upstream).Round(time.Millisecond), c.homes.factsOf(grant.Upstream).cachedAt(e.key)))
	}
	e.reply <- steps
}

func (s source) explainRequest(e *explanation, id string) error {
	r, ok := s.entry.ledger.find(id)
	if !ok {
		return verdict.Refuse(verdict.ReasonNotFound, "this entry remembers no such request")
	}
	e.add("request", "of %s for %s%s, class %s", r.caller, r.target, mark(r.adapter != "", " with adapter "+string(r.adapter)), r.class)
	e.add("attempts", "%d%s", r.attempts, mark(r.upstream != "", ", the last at "+string(r.upstream)))
	e.add("times", "first token after %s, end after %s", r.firstToken.Round(time.Millisecond), r.total.Round(time.Millisecond))
	e.add("verdict", "%s, reason %s%s", r.verdict.Execution, r.verdict.Reason, mark(r.verdict.Detail != "", ": "+r.verdict.Detail))
	e.add("outcome", "%s at %s", r.outcome, r.at.Format(time.RFC3339Nano))
	return nil
}
