package demo

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/loopback"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	teamName    = "venues"
	serviceName = "tickets"
	callerName  = "box-office"
)

// models are the demo's models with the memory of their weights.
var models = []struct {
	name    state.ModelName
	weights state.Bytes
}{{"seating", 8 * state.GiB}, {"trams", 6 * state.GiB}, {"captions", 12 * state.GiB}}

// layout holds the addresses of all parts.
type layout struct {
	log, store, hostList string
	entryAddrs           []settings.Listen
	upstreams            []upstreamLayout
}

type upstreamLayout struct {
	name    state.UpstreamName
	kind    state.UpstreamKind
	fencing state.FencingKind
	backend string
	listen  settings.Listen
}

// newLayout chooses free ports of the loopback interface.
func newLayout(ctx context.Context) (*layout, error) {
	ports, err := freeAddresses(ctx, 3+2*3+4*4)
	if err != nil {
		return nil, err
	}
	next := func() string {
		addr := ports[0]
		ports = ports[1:]
		return addr
	}
	l := &layout{log: next(), store: next(), hostList: next()}
	for range dataCentres {
		l.entryAddrs = append(l.entryAddrs, settings.Listen{Callers: next(), Operators: next(), Control: next()})
	}
	for i := range 4 {
		u := upstreamLayout{
			name: state.UpstreamName(fmt.Sprintf("runner-%d", i+1)), kind: state.ModelRunner,
			fencing: state.FencingEnforced, backend: next(),
			listen: settings.Listen{Callers: next(), Operators: next(), Control: next()},
		}
		if i == 2 {
			u.fencing = state.FencingIgnored
		}
		if i == 3 {
			u.name, u.kind = "tickets-1", state.PlainService
		}
		l.upstreams = append(l.upstreams, u)
	}
	return l, nil
}

func freeAddresses(ctx context.Context, n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		address, err := loopback.FreeAddress(ctx)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	return addresses, nil
}

func hostName(i int) state.HostName { return state.HostName(fmt.Sprintf("host-%d", i+1)) }

func (l *layout) hosts() []platform.HostInfo {
	var hosts []platform.HostInfo
	for i := range l.upstreams {
		hosts = append(hosts, platform.HostInfo{
			Name: hostName(i), DataCentre: dataCentres[i%len(dataCentres)], State: platform.HostLive,
		})
	}
	return hosts
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (l *layout) peers() []settings.Peer {
	var peers []settings.Peer
	for i, listen := range l.entryAddrs {
		peers = append(peers, settings.Peer{
			Name: state.EntryName(entryName(i)), Region: region, DataCentre: dataCentres[i], Control: listen.Control,
		})
	}
	return peers
}

func (l *layout) entries() []settings.Entry {
	var all []settings.Entry
	for i, listen := range l.entryAddrs {
		cfg := settings.DefaultEntry()
		cfg.Common = demoCommon(cfg.Common, l)
		cfg.Platform = settings.Platform{Log: "http://" + l.log, Hosts: "http://" + l.hostList}
		cfg.Name = entryName(i)
		cfg.Host = state.HostName(fmt.Sprintf("entry-host-%d", i+1))
		cfg.DataCentre = dataCentres[i]
		cfg.Listen = listen
		all = append(all, cfg)
	}
	return all
}

func (l *layout) agents() []settings.Agent {
	var all []settings.Agent
	for i, u := range l.upstreams {
		cfg := settings.DefaultAgent()
		cfg.Common = demoCommon(cfg.Common, l)
		cfg.Name = string(u.name)
		cfg.Host = hostName(i)
		cfg.DataCentre = dataCentres[i%len(dataCentres)]
		cfg.Listen = u.listen
		cfg.Upstream.Kind = u.kind
		cfg.Upstream.URL = "http://" + u.backend
		cfg.Upstream.Memory = runnerMemory
		cfg.Upstream.Fencing = u.fencing
		all = append(all, cfg)
	}
	return all
}

// seed publishes the demo's configuration as operators would.
func seed(ctx context.Context, log *standin.Log, l *layout) error {
	var s seeding
	s.add(state.EntityTeam, teamName, state.Team{Name: teamName})
	s.add(state.EntityCaller, callerName, state.Caller{Name: callerName, Team: teamName, HighestClass: state.ClassHigh, Weight: 1})
	s.add(state.EntityService, serviceName, state.Service{
		Name: serviceName, Team: teamName,
		Calls: []state.ServiceCall{{Method: "GET", Prefix: "/orders", Idempotent: true}, {Method: "POST", Prefix: "/issue"}},
	})
	for _, m := range models {
		s.add(state.EntityModel, string(m.name), state.Model{Name: m.name, Team: teamName, MaxReplicas: 2})
		s.add(state.EntityVersion, string(m.name)+"/v1", state.ModelVersion{
			Model: m.name, Name: "v1", Weights: m.weights, KVHeadroom: 2 * state.GiB,
		})
		s.replace(state.EntityModel, string(m.name), 1, state.Model{Name: m.name, Team: teamName, MaxReplicas: 2, Active: "v1"})
	}
	s.add(state.EntityAdapter, "late-trams", state.Adapter{Name: "late-trams", Team: teamName, Model: "trams", Size: 64 * state.MiB})
	for i, u := range l.upstreams {
		upstream := state.Upstream{
			Name: u.name, Kind: u.kind, Host: hostName(i), DataCentre: dataCentres[i%len(dataCentres)], Region: region,
			TrafficAddr: u.listen.Callers, ControlAddr: u.listen.Control, Memory: runnerMemory, Fencing: u.fencing,
		}
		if u.kind == state.PlainService {
			upstream.Services = []state.ServiceName{serviceName}
		}
		s.add(state.EntityUpstream, string(u.name), upstream)
	}
	if s.err != nil {
		return s.err
	}
	if _, err := log.Append(ctx, platform.StreamConfig, s.records); err != nil {
		return errors.Wrap(err, "publish the configuration")
	}
	return nil
}

// seeding collects configuration changes.
type seeding struct {
	records []state.Record
	err     error
}

func (s *seeding) add(kind state.EntityKind, name string, value any) { s.replace(kind, name, 0, value) }

func (s *seeding) replace(kind state.EntityKind, name string, expected state.Revision, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		s.err = errors.Wrap(err, "encode entity")
		return
	}
	change := state.ConfigChange{
		Entity: kind, Name: name, Expected: expected, Value: encoded, Actor: "demo", Reason: "demo set-up",
	}
	record, err := state.NewRecord(uuid.NewString(), state.ProcessID{Name: "demo"}, state.KindConfigChange, change)
	if err != nil {
		s.err = err
		return
	}
	s.records = append(s.records, record)
}
