//go:build linux

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// cmdCtl gives a statement to an entry: ctl ENTRY STATEMENT. With "!" it must
// be refused. Words after STATEMENT must be in the output.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	if len(args) < 2 {
		ts.Fatalf("usage: ctl ENTRY STATEMENT [WORD...]")
	}
	out, err := f.ctl(operators[0], args[0], args[1])
	ts.Logf("%s", out)
	if (err != nil) != neg {
		ts.Fatalf("ctl %s: %v", args[1], err)
	}
	for _, word := range args[2:] {
		if !strings.Contains(out, word) {
			ts.Fatalf("ctl %s: no %q in the output", args[1], word)
		}
	}
}

// cmdPage gives the statements of a page in docs, each line of its blocks of
// oplang, to an entry: page ENTRY FILE. All must be carried out.
func cmdPage(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	data, err := os.ReadFile(filepath.Join(f.docs, args[1]))
	ts.Check(err)
	blocks := strings.Split(string(data), "```oplang\n")[1:]
	if len(blocks) == 0 {
		ts.Fatalf("page: no statements in %s", args[1])
	}
	for _, block := range blocks {
		text, _, _ := strings.Cut(block, "```")
		for statement := range strings.Lines(text) {
			out, err := f.ctl(operators[0], args[0], strings.TrimSpace(statement))
			if err != nil {
				ts.Fatalf("page: %s%s", statement, out)
			}
		}
	}
}

// cmdRace gives two statements at once to two entries: race ENTRY ENTRY
// STATEMENT STATEMENT. Exactly one must be carried out, and the other must be
// refused with a conflict that names the winner.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	var outputs [2]string
	var failures [2]error
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() { outputs[i], failures[i] = f.ctl(operators[i], args[i], args[2+i]) })
	}
	group.Wait()
	ts.Logf("%s%s", outputs[0], outputs[1])
	if (failures[0] == nil) == (failures[1] == nil) {
		ts.Fatalf("want one winner, have %v and %v", failures[0], failures[1])
	}
	loser, winner := 0, 1
	if failures[0] == nil {
		loser, winner = 1, 0
	}
	want := "changed meanwhile by " + operators[winner]
	if !strings.HasPrefix(outputs[loser], "conflict: ") || !strings.Contains(outputs[loser], want) {
		ts.Fatalf("race: the loser got %q, want a conflict with %q", outputs[loser], want)
	}
}

// cmdFaults sets the faults of a stand-in: faults NAME JSON.
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	p, err := f.find(args[0])
	ts.Check(err)
	ts.Check(f.postJSON(p.addr, standin.PathFaults, args[1]))
}

// cmdHost sets a host of the host list: host NAME live|leaving|gone.
func cmdHost(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	body := fmt.Sprintf(`{"host": {"name": %q, "data_centre": "north-1", "state": %q}, "gone": %v}`, args[0], args[1], args[1] == "gone")
	ts.Check(f.postJSON(f.processes["hosts"].addr, standin.PathHostsSet, body))
}

var signals = map[string]syscall.Signal{
	"kill9": syscall.SIGKILL, "term": syscall.SIGTERM, "pause": syscall.SIGSTOP, "resume": syscall.SIGCONT,
}

// signal sends a signal by the name of its command to a process of the script
// and waits for the end of a killed one.
func (f *fleet) signal(command, name string) error {
	p, err := f.find(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(signals[command]); err != nil {
		return errors.Wrap(err, command)
	}
	if command == "kill9" {
		<-p.done
	}
	return nil
}

// signalCmd makes the commands kill9, term, pause and resume, each with the NAME
// of a process.
func signalCmd(command string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f := ts.Value(fleetKey{}).(*fleet)
		ts.Check(f.signal(command, args[0]))
	}
}

// cmdStart starts a process again with its old arguments: start NAME. As
// NAME is bound to the new process, "start NAME as OLD" keeps the earlier one,
// which may be paused, under the name OLD.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	p, err := f.find(args[0])
	ts.Check(err)
	if len(args) == 3 && args[1] == "as" {
		old := *p
		old.name = args[2]
		f.mu.Lock()
		f.processes[args[2]] = &old
		f.mu.Unlock()
	}
	ts.Check(f.launch(p))
}

// cmdExited waits until a process has ended with a code: exited NAME CODE
// [LIMIT].
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	p, err := f.find(args[0])
	ts.Check(err)
	limit := 40 * time.Second
	if len(args) > 2 {
		limit = duration(ts, args[2])
	}
	select {
	case <-p.done:
	case <-time.After(limit):
		ts.Fatalf("%s still runs after %s", args[0], limit)
	}
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s ended with code %s, want %s", args[0], code, args[1])
	}
}

// cmdUntil polls a condition: until LIMIT [!] CONDITION...
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	limit := duration(ts, args[0])
	want := args[1] != "!"
	condition := args[1:]
	if !want {
		condition = args[2:]
	}
	var failure error
	reached := poll(limit, func() bool {
		ok, err := f.condition(condition)
		failure = err
		return err == nil && ok == want
	})
	if !reached {
		ts.Fatalf("not within %s: %s (%v)", limit, strings.Join(args[1:], " "), failure)
	}
}

// cmdHolds checks a condition once: [!] holds CONDITION...
func cmdHolds(ts *testscript.TestScript, neg bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	ok, err := f.condition(args)
	ts.Check(err)
	if ok == neg {
		ts.Fatalf("does not hold: %s", strings.Join(args, " "))
	}
}

// condition evaluates one of:
//
//	replica ENGINE MODEL STATE    the engine lists the replica in STATE or, for "any", at all
//	started ENGINE N              the engine started exactly N requests
//	crashes ENGINE N              the engine crashed exactly N times
//	ready ENTRY                   the entry takes requests
//	streaming NAME                the first byte of the answer has come
//	records STREAM KIND N         the stream holds at least N records of the kind
//	snapshot STREAM OFFSET        the stream holds a whole snapshot that covers OFFSET
//	executions KEY N              the service executed the call exactly N times
//	settled ENTRY KEY             a resend of the call is told that it ran
//	logged PROCESS TEXT           the process's log has TEXT
func (f *fleet) condition(args []string) (bool, error) {
	want := func(i int) int { n, _ := strconv.Atoi(args[i]); return n }
	switch {
	case args[0] == "replica" && len(args) == 4:
		return f.hasReplica(args[1], state.ModelName(args[2]), args[3])
	case args[0] == "started" && len(args) == 3:
		counters, err := f.counters(args[1])
		return counters.Started == want(2), err
	case args[0] == "crashes" && len(args) == 3:
		counters, err := f.counters(args[1])
		return counters.Crashes == want(2), err
	case args[0] == "ready" && len(args) == 2:
		p, err := f.find(args[1])
		return err == nil && f.get("http://"+p.addr+"/readyz", http.StatusNoContent), err
	case args[0] == "streaming" && len(args) == 2:
		return f.sent[args[1]].started.Load(), nil
	case args[0] == "records" && len(args) == 4:
		return f.records(platform.Stream(args[1]), state.Kind(args[2])) >= want(3), nil
	case args[0] == "snapshot" && len(args) == 3:
		return f.snapshotCovers(platform.Stream(args[1]), state.Offset(want(2)))
	case args[0] == "executions" && len(args) == 3:
		counts := make(map[string]int)
		err := f.getJSON(f.processes["service"].addr, standin.PathExecutions, &counts)
		return counts[f.key(args[1])] == want(2), err
	case args[0] == "settled" && len(args) == 3:
		return f.settled(args[1], args[2])
	case args[0] == "logged" && len(args) == 3:
		data, err := os.ReadFile(filepath.Join(f.dir, args[1]+".log"))
		return strings.Contains(string(data), args[2]), err
	default:
		return false, errors.Errorf("unknown condition %q", args)
	}
}

func (f *fleet) hasReplica(engine string, model state.ModelName, want string) (bool, error) {
	status, err := f.engine(engine)
	for _, replica := range status.Replicas {
		if replica.Model == model && (want == "any" || string(replica.State) == want) {
			return true, err
		}
	}
	return false, err
}

func (f *fleet) settled(entry, key string) (bool, error) {
	p, err := f.find(entry)
	if err != nil {
		return false, err
	}
	req, s, err := f.request(p, map[string]string{"call": "/issue", "key": key})
	if err != nil {
		return false, err
	}
	s.run(f.client, req)
	reason := s.header.Get("Lagoon-Reason")
	return reason == "ok" || reason == "claim_ran", s.err
}

func (f *fleet) counters(engine string) (standin.EngineCounters, error) {
	var counters standin.EngineCounters
	p, err := f.find(engine)
	if err == nil {
		err = f.getJSON(p.addr, standin.PathCounters, &counters)
	}
	return counters, err
}

func (f *fleet) getJSON(addr, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "new request")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "get")
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// cmdFill appends records without effect to a stream: fill STREAM N.
func cmdFill(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	const batch = 500
	for left := count; left > 0; left -= batch {
		var records []state.Record
		for range min(left, batch) {
			record, err := state.NewRecord(uuid.NewString(), state.ProcessID{Name: "filler"}, state.KindAudit, state.Audit{})
			ts.Check(err)
			records = append(records, record)
		}
		_, err := f.log().Append(context.Background(), platform.Stream(args[0]), records)
		ts.Check(err)
	}
}
