//go:build linux

package main

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// layoutOptions are the arguments of "fleet".
type layoutOptions struct {
	entries, runners int
	fencing, memory  string
	retain           int
	// late is how many of the runners have no agent at first.
	late     int
	service  bool
	replicas int
	// resume is how long engines keep streams whose readers have left.
	resume time.Duration
	// south adds a second region with one entry and that many runners.
	south int
}

// southern marks the names of processes in the second region.
const southern = "south"

// regionOf returns the region of a process of a fleet.
func regionOf(name string) string {
	if strings.Contains(name, southern) {
		return southern
	}
	return region
}

// entryNames lists the entries of all regions.
func (o layoutOptions) entryNames() []string {
	var names []string
	for i := range o.entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	if o.south > 0 {
		names = append(names, "entry-south")
	}
	return names
}

// runnerNames lists the suffixes of the runners, their engines and hosts.
func (o layoutOptions) runnerNames() []string {
	var names []string
	for i := range o.runners {
		names = append(names, strconv.Itoa(i+1))
	}
	for i := range o.south {
		names = append(names, fmt.Sprintf("south-%d", i+1))
	}
	return names
}

// cmdFleet starts a system: the stand-ins log, hosts, store, engine-N and
// service, the entries entry-N and the agents runner-N and tickets-1. Arguments:
// entries=N runners=N fencing=enforced|ignored memory=SIZE retain=RECORDS
// replicas=N service=yes late=N south=N resume=DURATION. The agents of the last late runners are left to
// "start". south=N adds a region with entry-south, engine-south-N and
// runner-south-N. The models seating (4 GiB, loads in 2 s) and trams
// (2 GiB, 1 s) are configured by ctl.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	opts := layoutOptions{entries: 1, runners: 1, fencing: "enforced", memory: "16GiB", replicas: 1}
	for key, value := range pairs(ts, args) {
		number, _ := strconv.Atoi(value)
		switch key {
		case "entries":
			opts.entries = number
		case "runners":
			opts.runners = number
		case "fencing":
			opts.fencing = value
		case "memory":
			opts.memory = value
		case "retain":
			opts.retain = number
		case "late":
			opts.late = number
		case "replicas":
			opts.replicas = number
		case "south":
			opts.south = number
		case "resume":
			opts.resume = duration(ts, value)
		case "service":
			opts.service = value == "yes"
		default:
			ts.Fatalf("fleet: unknown key %q", key)
		}
	}
	ts.Check(f.build(opts))
}

func pairs(ts *testscript.TestScript, args []string) map[string]string {
	all := make(map[string]string, len(args))
	for _, arg := range args {
		key, value, ok := strings.Cut(arg, "=")
		if !ok {
			ts.Fatalf("want KEY=VALUE, have %q", arg)
		}
		all[key] = value
	}
	return all
}

func (f *fleet) build(opts layoutOptions) error {
	if err := f.standins(opts); err != nil {
		return err
	}
	entries := opts.entryNames()
	for _, name := range entries {
		f.add(name)
	}
	for _, name := range entries {
		if err := f.startEntry(name); err != nil {
			return err
		}
	}
	for _, name := range entries {
		if err := f.ready(name); err != nil {
			return err
		}
	}
	if err := f.configure(opts); err != nil {
		return err
	}
	if err := f.startAgents(opts); err != nil {
		return err
	}
	return f.awaitGrants(opts)
}

func (f *fleet) standins(opts layoutOptions) error {
	var hosts []string
	for _, name := range opts.runnerNames() {
		hosts = append(hosts, "--host", "host-"+name)
	}
	hosts = append(hosts, "--host", "host-tickets", "--data-centre", "north-1")
	kinds := [][]string{{"log", "log", "--retain-records", strconv.Itoa(opts.retain)}, append([]string{"hosts", "hosts"}, hosts...), {"store", "store"}}
	for _, runner := range opts.runnerNames() {
		name := "engine-" + runner
		kinds = append(kinds, []string{name, "engine", "--name", name, "--memory", opts.memory, "--fencing", opts.fencing, "--resume-for", opts.resume.String()})
	}
	if opts.service {
		kinds = append(kinds, []string{"service", "service"})
	}
	for _, kind := range kinds {
		p := f.add(kind[0])
		p.args = append([]string{"standin", kind[1], "--listen", p.addr}, kind[2:]...)
		if kind[1] == "engine" {
			p.args = append(p.args, "--store", "http://"+f.processes["store"].addr)
		}
		if err := f.launch(p); err != nil {
			return err
		}
	}
	for _, kind := range kinds {
		p := f.processes[kind[0]]
		if !poll(startLimit, func() bool { return f.get("http://"+p.addr+"/faults", 200) }) {
			return errors.Errorf("%s does not answer", p.name)
		}
	}
	return nil
}

// common returns the settings that entries and agents share.
func (f *fleet) common(p *process, host string) string {
	at := regionOf(p.name)
	text := fmt.Sprintf("name = %q\nhost = %q\nregion = %q\ndata_centre = %q\n", p.name, host, at, at+"-1")
	text += fmt.Sprintf("[listen]\ncallers = %q\noperators = %q\ncontrol = %q\n", p.addr, p.operators, p.control)
	text += "[shutdown]\ndrain_timeout = \"20s\"\n"
	for _, name := range f.order {
		if strings.HasPrefix(name, "entry-") {
			peer, place := f.processes[name], regionOf(name)
			text += fmt.Sprintf("[[peers]]\nname = %q\nregion = %q\ndata_centre = %q\ncontrol = %q\n", name, place, place+"-1", peer.control)
			if place != at {
				text += fmt.Sprintf("callers = %q\n", peer.addr)
			}
		}
	}
	return text
}

func (f *fleet) startEntry(name string) error {
	p := f.processes[name]
	platform := fmt.Sprintf("[platform]\nlog = \"http://%s\"\nhosts = \"http://%s\"\n", f.processes["log"].addr, f.processes["hosts"].addr)
	return f.startRole("entry", p, f.common(p, "host-"+name)+platform+"[limits]\nbody_bytes = \"64KiB\"\n"+tokens(), false)
}

// operators may give statements; an operator's token is the name.
var operators = []string{"ann", "bob"}

func tokens() string {
	text := ""
	for _, name := range operators {
		text += fmt.Sprintf("[[tokens]]\nname = %q\nteam = \"venues\"\nrole = \"administrator\"\nsha256 = \"%x\"\n", name, sha256.Sum256([]byte(name)))
	}
	return text
}

// startRole writes the settings of a process and starts it unless it is late.
func (f *fleet) startRole(role string, p *process, settings string, late bool) error {
	path := filepath.Join(f.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "settings file")
	}
	p.args = []string{role, "--config", path}
	if late {
		return nil
	}
	return f.launch(p)
}

func (f *fleet) ready(entry string) error {
	p := f.processes[entry]
	if !poll(startLimit, func() bool { return f.get("http://"+p.addr+"/readyz", 204) }) {
		return errors.Errorf("%s is not ready", entry)
	}
	return nil
}

func (f *fleet) startAgents(opts layoutOptions) error {
	for i, name := range opts.runnerNames() {
		backend := f.processes["engine-"+name].addr
		upstream := fmt.Sprintf("[upstream]\nkind = \"model-runner\"\nurl = \"http://%s\"\nmemory = %q\nfencing = %q\n", backend, opts.memory, opts.fencing)
		p := f.processes["runner-"+name]
		late := i < opts.runners && i >= opts.runners-opts.late
		if err := f.startRole("agent", p, f.common(p, "host-"+name)+upstream, late); err != nil {
			return err
		}
	}
	if !opts.service {
		return nil
	}
	upstream := fmt.Sprintf("[upstream]\nkind = \"service\"\nurl = \"http://%s\"\n", f.processes["service"].addr)
	p := f.processes["tickets-1"]
	return f.startRole("agent", p, f.common(p, "host-tickets")+upstream, false)
}

// configure creates the entities by the operators' language.
func (f *fleet) configure(opts layoutOptions) error {
	statements := []string{
		"create team venues",
		"create caller box-office team=venues highest=high",
	}
	for model, weights := range map[string]string{"seating": "4GiB", "trams": "2GiB"} {
		statements = append(statements,
			fmt.Sprintf("create model %s team=venues max_replicas=%d", model, opts.replicas),
			fmt.Sprintf("create version %s/v1 weights=%s kv_headroom=1GiB", model, weights),
			fmt.Sprintf("activate %s v1", model))
	}
	place := func(name, kind, host, rest string) string {
		p := f.add(name)
		return fmt.Sprintf("create upstream %s kind=%s host=%s region=%s data_centre=%s traffic_addr=%s control_addr=%s %s",
			name, kind, host, regionOf(name), regionOf(name)+"-1", p.addr, p.control, rest)
	}
	for _, name := range opts.runnerNames() {
		statements = append(statements, place("runner-"+name, "model-runner", "host-"+name,
			"memory="+opts.memory+" fencing="+opts.fencing))
	}
	if opts.service {
		statements = append(statements, "create service tickets team=venues idempotent=GET:/orders non_idempotent=POST:/issue",
			place("tickets-1", "service", "host-tickets", "services=tickets"))
	}
	for _, statement := range statements {
		if out, err := f.ctl("ann", "entry-1", statement); err != nil {
			return errors.Wrapf(err, "%s: %s", statement, out)
		}
	}
	return nil
}

func (f *fleet) awaitGrants(opts layoutOptions) error {
	agents := opts.runners - opts.late
	if opts.service {
		agents++
	}
	granted := func(at state.Region, agents int) func() bool {
		stream := platform.RegionStream(at)
		return func() bool {
			return f.records(stream, state.KindGrant) >= 2 && f.records(stream, state.KindAgentStart) >= agents
		}
	}
	if !poll(startLimit, granted(region, agents)) || opts.south > 0 && !poll(startLimit, granted(southern, opts.south)) {
		return errors.New("no grants, or an agent did not register")
	}
	return nil
}
