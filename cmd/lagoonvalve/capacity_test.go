//go:build linux

package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/load"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var (
	capacity        = flag.Bool("capacity", false, "measure control traffic, memory and processor time of a fleet of processes")
	capacityEntries = flag.Int("capacity.entries", 4, "entries of the fleet")
	capacityAgents  = flag.Int("capacity.agents", 136, "agents of the fleet, each with an engine")
	capacityTime    = flag.Duration("capacity.time", time.Minute, "time of each measurement")
	capacityRate    = flag.Float64("capacity.rate", 0, "requests/s at each entry in a second measurement; 0 makes none")
)

// The limits of control work per daemon and the configuration at the two-year
// size (section 1.6 of the design).
const (
	limitMemory      = 256 << 20
	limitProcessor   = 0.023
	limitTraffic     = 3 * 1000
	limitPropagation = 13 * time.Second
	fleetModels      = 590
	fleetAdapters    = 1600
	fleetUpstreams   = 12_000
	changeInterval   = time.Second * 86_400 / 75_000
	// clockTicks is the kernel's unit of processor time in /proc.
	clockTicks = 100
	// loadReplicas is how many replicas each of the two models may have that
	// the requests are for, and loadTokens the length of the answers, half of
	// which are streams.
	loadReplicas = 4
	loadTokens   = 40
)

// TestCapacity guards against a daemon whose control work exceeds its limits,
// and against a change that is not in force everywhere in time. It runs a few
// hundred processes for minutes, so it only runs with -capacity. With requests
// the processor time of traffic is what a process uses beyond its own use
// without them in the same run; the processes can't tell more.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("runs with -capacity only")
	}
	f := newFleet(t.TempDir(), os.Getenv("PATH"))
	defer f.killAll()
	opts := layoutOptions{entries: *capacityEntries, runners: *capacityAgents, fencing: "enforced", memory: "16GiB", replicas: loadReplicas}
	c := capacityRun{t: t, fleet: f}
	c.check(f.build(opts))
	c.check(f.fillConfiguration(fleetUpstreams - opts.runners))
	c.await("model", fmt.Sprintf("model-%d", fleetModels-1))
	c.await("adapter", fmt.Sprintf("adapter-%d", fleetAdapters-1))
	c.await("upstream", "far-0")
	time.Sleep(20 * time.Second) // The decider grants the new models.
	idle := c.measureControl(opts, "", func() {})
	if *capacityRate > 0 {
		c.measureTraffic(opts, idle)
	}
	c.measurePropagation()
}

type capacityRun struct {
	t       *testing.T
	fleet   *fleet
	created int
}

func (c *capacityRun) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// create appends a caller to the configuration and returns its name.
func (c *capacityRun) create() string {
	c.created++
	name := fmt.Sprintf("caller-%d", c.created)
	caller := state.Caller{Name: state.CallerName(name), Team: "venues", Weight: 1}
	c.check(c.fleet.appendChanges(change(state.EntityCaller, name, caller)))
	return name
}

// usage is what a process has used since its start.
type usage struct {
	processor time.Duration
	traffic   float64
	memory    float64
}

// measureTraffic measures control work beside requests.
func (c *capacityRun) measureTraffic(opts layoutOptions, idle map[string]float64) {
	cfg := load.Config{
		Caller: "box-office", Seed: 1, Rate: 4, Duration: 15 * time.Second, Deadline: 20 * time.Second,
		ShortTokens: loadTokens, LongTokens: loadTokens, StreamShare: 0.5, MaxRequests: 100_000, MaxOpen: 2000,
	}
	for _, name := range opts.entryNames() {
		cfg.URLs = append(cfg.URLs, "http://"+c.fleet.processes[name].addr)
	}
	for _, model := range []string{"seating", "trams"} {
		cfg.Models = append(cfg.Models, load.Weighted{Value: model, Weight: 1})
	}
	c.send(cfg) // The models are loaded.
	cfg.Rate, cfg.Duration = *capacityRate*float64(opts.entries), *capacityTime
	var report *load.Report
	busy := c.measureControl(opts, ", with requests", func() { report = c.send(cfg) })
	c.t.Logf("requests: %d planned, %d in time, %d late, %d refused %v, %d cut, %d wrong, %d not sent; p99 %.1f ms",
		report.Planned, report.All.InTime, report.All.Late, report.All.Refused, report.All.Reasons, report.All.Cut,
		report.All.Wrong, report.All.Unsent, report.All.Total.P99)
	for _, role := range []string{"entry-", "runner-"} {
		more := make(map[string]float64)
		total := 0.0
		for name := range busy {
			if strings.HasPrefix(name, role) {
				more[name] = busy[name] - idle[name]
				total += more[name]
			}
		}
		c.report(role+" processor beyond that without requests", more, math.Inf(1))
		c.t.Logf("%-55s %.0f µs", role+" processor per request", total*capacityTime.Seconds()*1e6/float64(report.Planned))
	}
}

func (c *capacityRun) send(cfg load.Config) *load.Report {
	report, err := load.Run(c.t.Context(), cfg, load.NewTransport(cfg.MaxOpen))
	c.check(err)
	return report
}

// measureControl compares what each daemon uses with its limits while the
// configuration changes and during runs. It returns the share of a core of
// each daemon; with requests that has no limit, since traffic is in it.
func (c *capacityRun) measureControl(opts layoutOptions, suffix string, during func()) map[string]float64 {
	names := opts.entryNames()
	for _, runner := range opts.runnerNames() {
		names = append(names, "runner-"+runner)
	}
	before := c.usages(names)
	started := time.Now()
	var running sync.WaitGroup
	running.Go(during)
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for time.Since(started) < *capacityTime {
		<-ticker.C
		c.create()
	}
	running.Wait()
	after := c.usages(names)
	elapsed := time.Since(started)
	shares := make(map[string]float64)
	processorLimit := limitProcessor
	if suffix != "" {
		processorLimit = math.Inf(1)
	}
	for _, role := range []string{"entry-", "runner-"} {
		processor, traffic, memory := make(map[string]float64), make(map[string]float64), make(map[string]float64)
		for _, name := range names {
			if strings.HasPrefix(name, role) {
				processor[name] = (after[name].processor - before[name].processor).Seconds() / elapsed.Seconds()
				traffic[name] = (after[name].traffic - before[name].traffic) / elapsed.Seconds()
				memory[name] = after[name].memory
			}
		}
		maps.Copy(shares, processor)
		c.report(role+" processor, share of a core"+suffix, processor, processorLimit)
		c.report(role+" control traffic, B/s"+suffix, traffic, limitTraffic)
		c.report(role+" resident memory, B"+suffix, memory, limitMemory)
	}
	return shares
}

func (c *capacityRun) report(what string, values map[string]float64, limit float64) {
	names := slices.SortedFunc(maps.Keys(values), func(a, b string) int { return cmp.Compare(values[a], values[b]) })
	last := names[len(names)-1]
	c.t.Logf("%-55s median %.4g, highest %.4g (%s), limit %.4g", what, values[names[len(names)/2]], values[last], last, limit)
	if values[last] > limit {
		c.t.Errorf("%s: %.4g at %s exceeds %.4g", what, values[last], last, limit)
	}
}

func (c *capacityRun) usages(names []string) map[string]usage {
	all := make(map[string]usage, len(names))
	for _, name := range names {
		u, err := c.fleet.usage(name)
		c.check(err)
		all[name] = u
	}
	return all
}

// measurePropagation reports the time from the append of a change until all
// entries answer with it.
func (c *capacityRun) measurePropagation() {
	times := make(map[string]float64)
	for range 20 {
		started := time.Now()
		name := c.create()
		c.await("caller", name)
		times[name] = time.Since(started).Seconds()
	}
	c.report("change in force at all entries, s", times, limitPropagation.Seconds())
}

// await waits until all entries answer with an entity.
func (c *capacityRun) await(kind, name string) {
	for _, entry := range c.fleet.order {
		if !strings.HasPrefix(entry, "entry-") {
			continue
		}
		url := "http://" + c.fleet.processes[entry].operators + "/v1/admin/" + kind + "/" + name
		if !poll(4*limitPropagation, func() bool { return c.fleet.getAuthorized(url) == http.StatusOK }) {
			c.t.Fatalf("%s does not show %s %s", entry, kind, name)
		}
	}
}

func (f *fleet) getAuthorized(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+operators[0])
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// fillConfiguration adds models, adapters and upstreams of other regions up to
// the two-year size.
func (f *fleet) fillConfiguration(upstreams int) error {
	var changes []state.ConfigChange
	for i := range fleetModels {
		name := fmt.Sprintf("model-%d", i)
		version := state.ModelVersion{Model: state.ModelName(name), Name: "v1", Weights: state.GiB, KVHeadroom: state.GiB}
		model := state.Model{Name: version.Model, Team: "venues", Active: "v1", MaxReplicas: 1}
		changes = append(changes, change(state.EntityModel, name, state.Model{Name: version.Model, Team: "venues", MaxReplicas: 1}),
			change(state.EntityVersion, name+"/v1", version))
		activate := change(state.EntityModel, name, model)
		activate.Expected = 1
		changes = append(changes, activate)
	}
	for i := range fleetAdapters {
		name := fmt.Sprintf("adapter-%d", i)
		model := state.ModelName(fmt.Sprintf("model-%d", i%fleetModels))
		changes = append(changes, change(state.EntityAdapter, name,
			state.Adapter{Name: state.AdapterName(name), Team: "venues", Model: model, Size: 100 * state.MiB}))
	}
	for i := range upstreams {
		name := fmt.Sprintf("far-%d", i)
		at := fmt.Sprintf("far-%d", i%7)
		changes = append(changes, change(state.EntityUpstream, name, state.Upstream{
			Name: state.UpstreamName(name), Kind: state.ModelRunner, Host: state.HostName("host-" + name),
			DataCentre: state.DataCentre(at + "-1"), Region: state.Region(at),
			TrafficAddr: "127.0.0.1:1", ControlAddr: "127.0.0.1:2", Memory: 16 * state.GiB, Fencing: state.FencingEnforced,
		}))
	}
	return f.appendChanges(changes...)
}

func change(kind state.EntityKind, name string, value any) state.ConfigChange {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return state.ConfigChange{Entity: kind, Name: name, Value: data, Actor: "capacity"}
}

func (f *fleet) appendChanges(changes ...state.ConfigChange) error {
	for batch := range slices.Chunk(changes, 500) {
		var records []state.Record
		for _, c := range batch {
			record, err := state.NewRecord(uuid.NewString(), state.ProcessID{Name: "capacity"}, state.KindConfigChange, c)
			if err != nil {
				return err
			}
			records = append(records, record)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := f.log().Append(ctx, platform.StreamConfig, records)
		cancel()
		if err != nil {
			return errors.Wrap(err, "append changes")
		}
	}
	return nil
}

// usage reads what a process has used from /proc and from its metrics.
func (f *fleet) usage(name string) (usage, error) {
	p, err := f.find(name)
	if err != nil {
		return usage{}, err
	}
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "processor time")
	}
	// The second field, the program's name, may hold spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	user, _ := strconv.Atoi(fields[userTime])
	system, _ := strconv.Atoi(fields[systemTime])
	u.processor = time.Duration(user+system) * time.Second / clockTicks
	pages, _ := strconv.Atoi(fields[residentPages])
	u.memory = float64(pages * os.Getpagesize())
	u.traffic, err = f.controlBytes(p)
	return u, err
}

// controlBytes sums both directions of the control traffic of a process.
func (f *fleet) controlBytes(p *process) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operators+"/metrics", http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "new request")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "metrics of "+p.name)
	}
	defer func() { _ = resp.Body.Close() }()
	var total float64
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "lagoonvalve_control_bytes_total") {
			fields := strings.Fields(lines.Text())
			value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
			if err != nil {
				return 0, errors.Wrap(err, "metrics of "+p.name)
			}
			total += value
		}
	}
	if err := lines.Err(); err != nil {
		return 0, errors.Wrap(err, "metrics of "+p.name)
	}
	return total, nil
}
