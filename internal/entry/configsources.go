package entry

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func joinNames[S ~string](names []S) string {
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = string(name)
	}
	return strings.Join(parts, ",")
}

func fingerprintText(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

func (s source) grants(context.Context) [][]oplang.Value {
	var rows [][]oplang.Value
	for g := range s.entry.control.view().region.Grants() {
		rows = append(rows, []oplang.Value{
			oplang.Text(g.Model), oplang.Text(g.Version), oplang.Text(g.Upstream),
			oplang.Int(g.ID), oplang.Int(g.Epoch), oplang.Bool(g.Revoked),
		})
	}
	return rows
}

func (s source) upstreams(context.Context) [][]oplang.Value {
	v := s.entry.control.view()
	var rows [][]oplang.Value
	for u := range v.config.Upstreams() {
		agent, ok := v.region.Agent(u.Name)
		if !ok {
			agent.Token = state.NoOffset
		}
		rows = append(rows, []oplang.Value{
			oplang.Text(u.Name), oplang.Text(u.Kind), oplang.Text(u.Host), oplang.Text(u.DataCentre), oplang.Text(u.Region),
			oplang.Size(u.Memory), oplang.Text(u.Fencing), oplang.Bool(v.config.Drained(u.Name)),
			oplang.Int(agent.Token), oplang.Int(len(v.region.GrantsOn(u.Name))),
		})
	}
	return rows
}

// hostsAsked asks for the last reading of the host list.
type hostsAsked struct{ reply chan []platform.HostInfo }

func (e hostsAsked) apply(c *control, _ time.Time) { e.reply <- slices.Clone(c.fleet.hosts) }

func (s source) hosts(ctx context.Context) [][]oplang.Value {
	v := s.entry.control.view()
	listed, err := exchangeEvent(ctx, s.entry.control, func(reply chan []platform.HostInfo) event { return hostsAsked{reply} })
	if err != nil {
		return nil
	}
	upstreams := make(map[state.HostName]int)
	for u := range v.config.Upstreams() {
		upstreams[u.Host]++
	}
	var rows [][]oplang.Value
	for _, h := range listed {
		_, _, drained := v.config.Drain(state.Drain{Host: h.Name}.Key())
		rows = append(rows, []oplang.Value{
			oplang.Text(h.Name), oplang.Text(h.DataCentre), oplang.Text(h.State), oplang.Bool(drained), oplang.Int(upstreams[h.Name]),
		})
	}
	return rows
}

func (s source) models(context.Context) [][]oplang.Value {
	v := s.entry.control.view().config
	var rows [][]oplang.Value
	for m := range v.Models() {
		_, revision, _ := v.Model(m.Name)
		rows = append(rows, []oplang.Value{
			oplang.Text(m.Name), oplang.Text(m.Team), oplang.Text(m.Active), oplang.Int(m.MinReplicas),
			oplang.Int(m.MaxReplicas), oplang.Duration(m.KeepAlive.Std()), oplang.Int(revision),
		})
	}
	return rows
}

func (s source) versions(context.Context) [][]oplang.Value {
	v := s.entry.control.view().config
	var rows [][]oplang.Value
	for m := range v.Versions() {
		_, revision, _ := v.Version(m.Key())
		rows = append(rows, []oplang.Value{
			oplang.Text(m.Model), oplang.Text(m.Name), oplang.Size(m.Weights), oplang.Size(m.KVHeadroom), oplang.Int(revision),
		})
	}
	return rows
}

func (s source) adapters(context.Context) [][]oplang.Value {
	v := s.entry.control.view().config
	var rows [][]oplang.Value
	for a := range v.Adapters() {
		_, revision, _ := v.Adapter(a.Name)
		rows = append(rows, []oplang.Value{
			oplang.Text(a.Name), oplang.Text(a.Team), oplang.Text(a.Model), oplang.Size(a.Size), oplang.Int(revision),
		})
	}
	return rows
}

func (s source) callers(context.Context) [][]oplang.Value {
	v := s.entry.control.view().config
	var rows [][]oplang.Value
	for c := range v.Callers() {
		_, revision, _ := v.Caller(c.Name)
		rows = append(rows, []oplang.Value{
			oplang.Text(c.Name), oplang.Text(c.Team), oplang.Text(c.HighestClass.String()), oplang.Int(c.Weight),
			oplang.Int(c.MaxInFlight), oplang.Int(revision),
		})
	}
	return rows
}

func (s source) services(context.Context) [][]oplang.Value {
	v := s.entry.control.view().config
	var rows [][]oplang.Value
	for e := range v.Services() {
		_, revision, _ := v.Service(e.Name)
		rows = append(rows, []oplang.Value{oplang.Text(e.Name), oplang.Text(e.Team), oplang.Int(len(e.Calls)), oplang.Int(revision)})
	}
	return rows
}
