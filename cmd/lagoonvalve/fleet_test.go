//go:build linux

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/loopback"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	region    = "north"
	pollEvery = 10 * time.Millisecond
	// startLimit bounds the start of a process. Race-enabled binaries on a
	// busy machine take seconds.
	startLimit = 60 * time.Second
)

// process is a process of the binary that a script started.
type process struct {
	name string
	args []string
	// addr is what others reach it at: the backend of a stand-in, the callers'
	// address of an entry, the traffic address of an agent.
	addr, operators, control string

	cmd  *exec.Cmd
	done chan struct{}
}

// fleet holds what one script started.
type fleet struct {
	dir, path string
	// docs is the directory of the pages.
	docs   string
	client *http.Client

	mu        sync.Mutex
	processes map[string]*process
	order     []string
	sent      map[string]*sending
	keys      map[string]string
	watches   map[string]*memoryWatch
}

type fleetKey struct{}

func newFleet(dir, path string) *fleet {
	return &fleet{
		dir: dir, path: path, client: &http.Client{Transport: &http.Transport{}},
		processes: make(map[string]*process), sent: make(map[string]*sending),
		keys: make(map[string]string), watches: make(map[string]*memoryWatch),
	}
}

func freeAddr() string {
	addr, err := loopback.FreeAddress(context.Background())
	if err != nil {
		panic(err)
	}
	return addr
}

func (f *fleet) add(name string, args ...string) *process {
	p := &process{name: name, args: args, addr: freeAddr(), operators: freeAddr(), control: freeAddr()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	f.order = append(f.order, name)
	return p
}

func (f *fleet) find(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		return nil, errors.Errorf("no process %q", name)
	}
	return p, nil
}

// launch starts p. Its log goes to NAME.log in the script's directory.
func (f *fleet) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.binary(), p.args...)
	cmd.Stderr = log
	cmd.Stdout = log
	// The processes must not outlive a test binary that dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+p.name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// binary finds lagoonvalve in the scripts' PATH.
func (f *fleet) binary() string {
	for _, dir := range filepath.SplitList(f.path) {
		if path := filepath.Join(dir, "lagoonvalve"); isFile(path) {
			return path
		}
	}
	return "lagoonvalve"
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.watches {
		w.stop()
	}
	for _, p := range f.processes {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	f.client.CloseIdleConnections()
}

// races returns what the race detector wrote to the processes' logs.
func (f *fleet) races() string {
	var found strings.Builder
	for name := range f.processes {
		data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
		if _, report, ok := strings.Cut(string(data), "WARNING: DATA RACE"); ok && err == nil {
			fmt.Fprintf(&found, "data race in %s:%.4000s\n", name, report)
		}
	}
	return found.String()
}

// logTails returns the last lines of what each process has logged.
func (f *fleet) logTails() string {
	const shown = 40
	var tails strings.Builder
	for _, name := range f.order {
		data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
		if err != nil {
			fmt.Fprintf(&tails, "no log of %s: %v\n", name, err)
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		fmt.Fprintf(&tails, "last lines of %s:\n%s\n", name, strings.Join(lines[max(0, len(lines)-shown):], "\n"))
	}
	return tails.String()
}

// poll waits until done reports true, for at most limit.
func poll(limit time.Duration, done func() bool) bool {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	end := time.NewTimer(limit)
	defer end.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-end.C:
			return done()
		}
	}
	return true
}

func (f *fleet) get(url string, statuses ...int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	for _, status := range statuses {
		if resp.StatusCode == status {
			return true
		}
	}
	return false
}

func (f *fleet) postJSON(addr, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "new request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "post")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}

func (f *fleet) log() *platform.HTTPLog {
	return platform.NewHTTPLog("http://"+f.processes["log"].addr, platform.HTTPOptions{})
}

// records counts the records of a kind in a stream.
func (f *fleet) records(stream platform.Stream, kind state.Kind) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	page, err := f.log().Read(ctx, stream, 0, 100_000, 0)
	if errors.Is(err, platform.ErrTruncated) {
		page, err = f.log().Read(ctx, stream, page.Oldest, 100_000, 0)
	}
	if err != nil {
		return -1
	}
	count := 0
	for _, record := range page.Records {
		if record.Kind == kind {
			count++
		}
	}
	return count
}

func (f *fleet) snapshotCovers(stream platform.Stream, offset state.Offset) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, ok, err := logclient.LatestSnapshot(ctx, f.log(), stream, offset-1)
	return ok, err
}

func (f *fleet) engine(name string) (platform.EngineStatus, error) {
	p, err := f.find(name)
	if err != nil {
		return platform.EngineStatus{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return platform.NewHTTPEngine("http://"+p.addr, platform.HTTPOptions{}, 0).Status(ctx)
}

// ctl runs an operator's statement through an entry and returns its output.
func (f *fleet) ctl(operator, entry, statement string) (string, error) {
	p, err := f.find(entry)
	if err != nil {
		return "", err
	}
	cmd := exec.Command(f.binary(), "ctl", "--url", "http://"+p.operators, statement)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	cmd.Env = append(os.Environ(), "LAGOONVALVE_TOKEN="+operator)
	err = cmd.Run()
	return out.String(), err
}
