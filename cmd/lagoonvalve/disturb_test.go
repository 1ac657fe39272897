//go:build linux

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lagoonvalve/lagoonvalve/internal/standin"
)

const (
	disturbClients  = 6
	disturbDeadline = 8 * time.Second
	// answerSlack is for connecting and scheduling on a busy machine.
	answerSlack = time.Second
	// backlogTime is how long before a planned stop a connection may have been
	// made that the entry never accepted.
	backlogTime = 200 * time.Millisecond
	// callsTakeTime makes calls last, so that processes are lost during calls.
	callsTakeTime = `{"delay": "200ms", "lose_next": 0, "fail_next": 0, "refuse_next": 0, "refuse_every": 0, "refuse_for": "0s", "cut_every": 0}`
	// resendFor is how long a caller sends a call again.
	resendFor = 6 * time.Second
	// noPartFaults ends partFaults.
	noPartFaults = `{"refuse_every": 0, "refuse_for": "0s", "cut_every": 0}`
)

// partFaults are faults of an upstream that fails a part of its requests.
var partFaults = []string{`{"refuse_every": 8}`, `{"refuse_every": 3}`, `{"refuse_for": "150ms"}`, `{"cut_every": 8}`}

// disruption is a time in which an entry can't be expected to answer.
type disruption struct {
	kind       string
	began, end time.Time
}

// callHistory is what the callers of one call were told.
type callHistory struct {
	verdicts map[string]int
	// cut counts sendings without an answer.
	cut int
}

// disturbance is a run of requests beside a schedule of faults.
type disturbance struct {
	f       *fleet
	entries []string
	client  *http.Client
	end     time.Time

	mu          sync.Mutex
	disruptions map[string][]*disruption
	calls       map[string]*callHistory
	answered    map[string]int
	problems    []string
}

// cmdDisturb sends completions and calls from several callers, who send a call
// again until they know its outcome, while faults that seed decides come and
// go, several at a time: disturb seed=N duration=DURATION. Each request must
// be answered in time with the whole answer to it, unless its entry was killed
// or paused meanwhile. At the end all faults are healed, and no call may have
// run twice, a call that was always refused as not run may not have run at
// all, nor one called not run have run before, one that ran must have run once,
// and new requests must be served.
func cmdDisturb(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	opts := pairs(ts, args)
	seed, err := strconv.ParseUint(opts["seed"], 10, 64)
	ts.Check(err)
	d := &disturbance{
		f: f, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		end:         time.Now().Add(duration(ts, opts["duration"])),
		disruptions: make(map[string][]*disruption), calls: make(map[string]*callHistory), answered: make(map[string]int),
	}
	for _, name := range f.order {
		if strings.HasPrefix(name, "entry-") {
			d.entries = append(d.entries, name)
		}
	}
	ts.Check(f.postJSON(f.processes["service"].addr, standin.PathFaults, callsTakeTime))
	var running sync.WaitGroup
	for i := range disturbClients {
		running.Go(func() { d.sendRequests(rand.New(rand.NewPCG(seed, uint64(i))), i) })
	}
	for i, faults := range d.faults() {
		running.Go(func() { d.injectFaults(rand.New(rand.NewPCG(seed, uint64(100+i))), faults) })
	}
	running.Wait()
	d.settle()
	ts.Logf("answers by reason: %v; %d calls", d.answered, len(d.calls))
	if len(d.problems) > 0 {
		ts.Fatalf("disturb: %s", strings.Join(d.problems, "\n"))
	}
}

func (d *disturbance) problem(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.problems = append(d.problems, fmt.Sprintf(format, args...))
}

// sendRequests sends one request after the other until the run ends.
func (d *disturbance) sendRequests(random *rand.Rand, client int) {
	for n := 0; time.Now().Before(d.end); n++ {
		word := fmt.Sprintf("call-%d-%d", client, n)
		if random.IntN(2) == 0 {
			model := []string{"seating", "trams"}[random.IntN(2)]
			stream := []string{"yes", "no"}[random.IntN(2)]
			d.send(random, map[string]string{"model": model, "prompt": word, "tokens": strconv.Itoa(1 + random.IntN(40)), "stream": stream})
		} else {
			d.resend(random, word)
		}
		<-time.After(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// resend sends a call until its caller knows that it ran.
func (d *disturbance) resend(random *rand.Rand, word string) {
	began := time.Now()
	for sent := 0; sent < 2 || time.Since(began) < resendFor && time.Now().Before(d.end); sent++ {
		ranBefore := sent > 0 && d.executions()[d.f.key(word)] > 0
		s := d.send(random, map[string]string{"call": "/issue", "key": word})
		d.mu.Lock()
		history, ok := d.calls[word]
		if !ok {
			history = &callHistory{verdicts: make(map[string]int)}
			d.calls[word] = history
		}
		verdict := s.header.Get("Lagoon-Verdict")
		if s.err != nil || verdict == "" {
			history.cut++
		} else {
			history.verdicts[verdict]++
		}
		d.mu.Unlock()
		if ranBefore && verdict == "not-run" {
			d.problem("%s was called not run (%s) after it had run", word, s.header.Get("Lagoon-Reason"))
		}
		if verdict == "ran" && s.err == nil || random.IntN(10) == 0 {
			return
		}
		<-time.After(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

// send sends one request to any entry and checks its answer.
func (d *disturbance) send(random *rand.Rand, opts map[string]string) *sending {
	entry := d.entries[random.IntN(len(d.entries))]
	opts["deadline"] = strconv.FormatInt(disturbDeadline.Milliseconds(), 10)
	req, s, err := d.f.request(d.f.processes[entry], opts)
	if err != nil {
		d.problem("request: %v", err)
		return &sending{err: err}
	}
	began := time.Now()
	s.run(d.client, req)
	reason := s.header.Get("Lagoon-Reason")
	d.mu.Lock()
	d.answered[reason]++
	d.mu.Unlock()
	what := fmt.Sprintf("%v at %s after %s: status %d, %s %s", opts, entry, s.took.Round(time.Millisecond), s.status, s.header.Get("Lagoon-Verdict"), reason)
	switch {
	case s.err != nil:
		// A stream that has begun can only be cut at its deadline.
		atDeadline := s.status == http.StatusOK && s.took > disturbDeadline-answerSlack
		if !atDeadline && !d.excused(entry, began) {
			d.problem("%s: %v", what, s.err)
		}
	case s.took > disturbDeadline+answerSlack && !d.excused(entry, began):
		d.problem("%s: late", what)
	case s.status == http.StatusOK && opts["call"] != "":
		if !strings.Contains(s.body, d.f.key(opts["key"])) {
			d.problem("%s: answer to another call: %s", what, s.body)
		}
	case s.status == http.StatusOK:
		if text, err := s.text(); text != s.want {
			d.problem("%s: text %q (%v), want %q", what, text, err, s.want)
		}
	case reason == "":
		d.problem("%s: refused without a reason: %.200s", what, s.body)
	}
	return s
}

// excused reports whether the entry was killed or paused during a request that
// began then and has just ended, or was about to stop when it began.
func (d *disturbance) excused(entry string, began time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.disruptions[entry] {
		before := !p.end.IsZero() && p.end.Before(began)
		if !before && (p.kind != "term" || began.After(p.began.Add(-backlogTime))) {
			return true
		}
	}
	return false
}

// fault is one kind of fault, which lasts for some time. It runs until heal is
// closed and leaves nothing behind.
type fault struct {
	name string
	run  func(heal <-chan time.Time) error
}

// faults lists groups of faults. Of each group at most one is there at a time.
func (d *disturbance) faults() [][]fault {
	var groups [][]fault
	for _, group := range [][]string{d.entries, {"runner-1", "runner-2"}, {"tickets-1"}} {
		var faults []fault
		for _, name := range group {
			for _, kind := range []string{"kill9", "pause", "term"} {
				faults = append(faults, fault{kind + " " + name, func(heal <-chan time.Time) error { return d.stopProcess(kind, name, heal) }})
			}
		}
		groups = append(groups, faults)
	}
	platform := map[string][]string{
		"log":   {`{"outage": true}`, `{"lose_answers": true}`, `{"delay": "700ms"}`, `{"lose_next": 3}`, `{"outage_next": 5}`},
		"store": {`{"outage": true}`, `{"slowdown": 4}`}, "hosts": {`{"outage": true}`},
		"service": {`{"delay": "1s"}`, `{"lose_next": 2}`, `{"fail_next": 2}`, `{"refuse_next": 2, "retry_after": "5"}`},
	}
	platform["service"] = append(platform["service"], partFaults...)
	healed := map[string]string{
		"log": `{"outage": false, "lose_answers": false, "delay": "0s", "lose_next": 0, "outage_next": 0}`, "store": `{"outage": false, "slowdown": 1}`,
		"hosts": `{"outage": false}`, "service": callsTakeTime,
	}
	names := []string{"log", "store", "hosts", "service"}
	for _, name := range d.f.order {
		if strings.HasPrefix(name, "engine-") {
			names = append(names, name)
			platform[name], healed[name] = partFaults, noPartFaults
		}
	}
	for _, name := range names {
		var faults []fault
		for _, body := range platform[name] {
			faults = append(faults, fault{name + body, func(heal <-chan time.Time) error {
				if err := d.f.postJSON(d.f.processes[name].addr, standin.PathFaults, body); err != nil {
					return err
				}
				<-heal
				return d.f.postJSON(d.f.processes[name].addr, standin.PathFaults, healed[name])
			}})
		}
		groups = append(groups, faults)
	}
	return groups
}

// injectFaults runs faults of a group one after the other.
func (d *disturbance) injectFaults(random *rand.Rand, faults []fault) {
	for time.Now().Before(d.end) {
		<-time.After(time.Duration(300+random.IntN(2000)) * time.Millisecond)
		chosen := faults[random.IntN(len(faults))]
		if err := chosen.run(time.After(time.Duration(200+random.IntN(3000)) * time.Millisecond)); err != nil {
			d.problem("%s: %v", chosen.name, err)
		}
	}
}

// stopProcess kills, pauses or stops a process and lets it run again.
func (d *disturbance) stopProcess(kind, name string, heal <-chan time.Time) error {
	p, stopped := d.f.processes[name], &disruption{kind: kind, began: time.Now()}
	d.mu.Lock()
	d.disruptions[name] = append(d.disruptions[name], stopped)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		stopped.end = time.Now()
	}()
	if err := d.f.signal(kind, name); err != nil {
		return err
	}
	<-heal
	if kind == "pause" {
		return d.f.signal("resume", name)
	}
	<-p.done
	if code := p.cmd.ProcessState.ExitCode(); kind == "term" && code != 0 {
		return errors.Errorf("planned stop ended with code %d", code)
	}
	if err := d.f.launch(p); err != nil {
		return err
	}
	if strings.HasPrefix(name, "entry-") {
		return d.f.ready(name)
	}
	return nil
}

// settle checks the calls once all faults are healed.
func (d *disturbance) settle() {
	healthy := func(opts map[string]string) bool {
		req, s, err := d.f.request(d.f.processes[d.entries[0]], opts)
		if err == nil {
			s.run(d.client, req)
		}
		return err == nil && s.err == nil && s.status == http.StatusOK
	}
	for _, opts := range []map[string]string{
		{"model": "seating", "prompt": "after", "tokens": "3"}, {"model": "trams", "prompt": "after", "tokens": "3"}, {"call": "/issue"},
	} {
		tries := 0
		served := func() bool {
			tries++
			if opts["call"] != "" { // A try of unknown outcome is not repeated.
				opts["key"] = fmt.Sprint("after-", tries)
			}
			return healthy(opts)
		}
		if !poll(30*time.Second, served) {
			d.problem("%v is not served after all faults are healed", opts)
		}
	}
	executions := d.executions()
	for word, history := range d.calls {
		ran := executions[d.f.key(word)]
		told := fmt.Sprintf("%s ran %d times; callers were told %v, %d without an answer", word, ran, history.verdicts, history.cut)
		switch {
		case ran > 1:
			d.problem("%s: repeated", told)
		case ran == 1 && history.cut == 0 && history.verdicts["ran"] == 0 && history.verdicts["may-have-run"] == 0:
			d.problem("%s: refused as not run", told)
		case ran == 0 && history.verdicts["ran"] > 0:
			d.problem("%s: lost", told)
		}
	}
}

// executions returns how often the service executed each call.
func (d *disturbance) executions() map[string]int {
	counts := make(map[string]int)
	if err := d.f.getJSON(d.f.processes["service"].addr, standin.PathExecutions, &counts); err != nil {
		d.problem("executions: %v", err)
	}
	return counts
}
