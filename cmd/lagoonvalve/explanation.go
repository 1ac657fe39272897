package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// writeExplanation writes an explanation as text.
func writeExplanation(w io.Writer, r *rpc.ExplainResult) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("gateway      %s in %s, ready: %t, manifest %d", r.Gateway, r.DataCentre, r.Ready, r.Manifest)
	for _, note := range r.Notes {
		line("note         %s", note)
	}
	line("ages         manifest %s, registry %s, what upstreams hold %s, loads of data centres %s; own counts: now",
		formatAge(r.Ages.Manifest), formatAge(r.Ages.Registry), formatAge(r.Ages.Residency), formatAge(r.Ages.Loads))
	if r.Route != "" {
		line("request      route %s, service %s, priority %d, deadline %v", r.Route, r.Service, r.Priority, r.Deadline.Std())
	}
	if r.Team != "" {
		line("team         %s, quota left: %s", r.Team, formatQuota(r.Quota))
	}
	if r.Spillover != nil {
		line("data centre  %s", formatSpillover(r.Spillover))
	}
	for _, u := range r.Upstreams {
		line("upstream     %s in %s: %s", u.Name, u.DataCentre, u.State)
		for _, text := range u.For {
			line("               + %s", text)
		}
		for _, text := range u.Against {
			line("               - %s", text)
		}
	}
	line("outcome      %s", formatOutcome(r))
	_, err := io.WriteString(w, b.String())
	return err
}

func formatOutcome(r *rpc.ExplainResult) string {
	switch {
	case r.Refusal != nil && r.Refusal.RetryAfter > 0:
		return fmt.Sprintf("refused with %d, Retry-After %v: %s: %s", r.Refusal.Status, r.Refusal.RetryAfter.Std(), r.Refusal.Reason, r.Refusal.Detail)
	case r.Refusal != nil:
		return fmt.Sprintf("refused with %d: %s: %s", r.Refusal.Status, r.Refusal.Reason, r.Refusal.Detail)
	case r.Chosen != "":
		return fmt.Sprintf("sent to %s, expected wait %v", r.Chosen, r.ExpectedWait.Std().Round(time.Millisecond))
	default:
		return fmt.Sprintf("waits for an upstream that holds what it needs, for %v at most", r.WaitsForUpstream.Std().Round(time.Millisecond))
	}
}

func formatSpillover(s *rpc.ExplainedSpillover) string {
	if !s.Planned {
		return "no plan: figures are missing or too old; chosen as without spillover"
	}
	text := fmt.Sprintf("%s (%s); callers here need %.1f slots of %.1f", s.Action, s.Reason, s.Offered, s.Slots)
	if s.To != "" {
		text += fmt.Sprintf("; to %s, which costs %v and saves %v", s.To, s.Cost.Std().Round(time.Millisecond), s.Wait.Std().Round(time.Millisecond))
	}
	for _, dc := range slices.Sorted(maps.Keys(s.Shares)) {
		text += fmt.Sprintf("; %.0f%% go to %s", 100*s.Shares[dc], dc)
	}
	if s.Excess > 0 {
		text += fmt.Sprintf("; no room in time for %.0f%%", 100*s.Excess)
	}
	return text
}

func formatQuota(q *rpc.ExplainedQuota) string {
	if q == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.0f tokens, as of %v ago", q.Tokens, q.Age.Std().Round(time.Millisecond))
}

func formatAge(age *state.Duration) string {
	if age == nil {
		return "never"
	}
	return age.Std().Round(time.Millisecond).String()
}
