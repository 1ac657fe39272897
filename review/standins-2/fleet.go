//go:build review

// Command standins-2 starts the gateways and the stand-ins of the cases of the second review.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var (
	began      = time.Now()
	recordMu   sync.Mutex
	recordFile *bufio.Writer
	disturbed  = os.Getenv("TROUBLE") != "0"
)

// note writes a line of record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		_, _ = fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func check(err error) {
	if err != nil {
		finish(failed, "the case could not run: %v", err)
	}
}

var gateways []*gateway

// finish ends all processes and the case.
func finish(code int, format string, args ...any) {
	for _, g := range gateways {
		if g.cmd.Process != nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.done
		}
	}
	note(format, args...)
	fmt.Printf(format+"\n", args...)
	recordMu.Lock()
	if recordFile != nil {
		_ = recordFile.Flush()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(dir, keep)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var dir string

var given = map[int]bool{}

// freeAddr returns an address at which nothing listens. Its port is above those that the system
// gives to channels, so that none takes it meanwhile.
func freeAddr() string {
	for range 1000 {
		port := 61000 + rand.IntN(4400)
		addr := "127.0.0.1:" + strconv.Itoa(port)
		l, err := net.Listen("tcp", addr)
		if err != nil || given[port] {
			continue
		}
		_ = l.Close()
		given[port] = true
		return addr
	}
	finish(failed, "no free port")
	return ""
}

// gateway is a gateway process with the settings of deploy/gateway.toml.tmpl.
type gateway struct {
	name, callers, ready, control string
	config                        string
	store                         *store
	settings                      settings
	cmd                           *exec.Cmd
	done                          chan struct{}
}

// settings are those that differ between cases.
type settings struct {
	graceS, leaseMs int
	slack           int
	memoryMB, fds   int
	more            string
}

func defaults() settings {
	return settings{graceS: 8, leaseMs: 3000, slack: 58, memoryMB: 284, fds: 4100}
}

func startGateway(s *store, i int, set settings) *gateway {
	g := &gateway{name: fmt.Sprintf("front-z-%d", i), store: s, settings: set}
	g.config = filepath.Join(dir, g.name+".toml")
	g.configure()
	g.start()
	gateways = append(gateways, g)
	return g
}

// configure writes the settings, with addresses that are free now.
func (g *gateway) configure() {
	g.callers, g.ready, g.control = freeAddr(), freeAddr(), freeAddr()
	set := g.settings
	text := fmt.Sprintf(`name = %q
host = %q
region = "r"
data_centre = "z"
ready_listen = %q
notice_listen = %q
store = %q
memory_limit = "%d000000B"
max_descriptors = %d

[listen]
callers = %q
control = %q
operators = %q

[shutdown]
drain_timeout = "%ds"

[lease]
ttl = "%dms"
settle = "%dms"

[retries]
share = 0.2
slack = %d
%s
[[data_centres]]
name = "z"
region = "r"
`, g.name, g.name, g.ready, freeAddr(), g.store.addr(), set.memoryMB, set.fds, g.callers, g.control, freeAddr(), set.graceS, set.leaseMs, set.leaseMs, set.slack, set.more)
	check(os.WriteFile(g.config, []byte(text), 0o600))
}

// start runs the command of the deploy file.
func (g *gateway) start() {
	out, err := os.OpenFile(filepath.Join(dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	g.cmd = exec.Command("target/lagoonvalve", "gateway")
	g.cmd.Env = append(os.Environ(), "LAGOONVALVE_CONFIG="+g.config)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	check(g.cmd.Start())
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(g.cmd, g.done)
}

func (g *gateway) ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.ended() {
			// Another process may have taken one of its ports meanwhile.
			time.Sleep(time.Second)
			g.configure()
			g.start()
		}
		resp, err := client.Get("http://" + g.ready + "/lagoonvalve/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	logs, _ := os.ReadFile(filepath.Join(dir, g.name+".log"))
	finish(failed, "gateway %s is not ready: %s", g.name, logs)
}

type route map[string]any

func newRoute(name, kind, service string, attempts, timeoutMs int, more route) route {
	r := route{"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "attempts": attempts,
		"timeoutMs": timeoutMs, "targetLatencyMs": 500, "priority": 1}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func (s *store) putManifest(version int, routes []route, services []map[string]any) {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	check(err)
	s.put("keyed.op", "config", value)
	note("operator confirmed manifest %d", version)
}

func plainService(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": maxConns, "protocol": "h1", "tls": false}
}

// reply is what a client got. Status is zero if the channel ended without a whole answer.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request on a new channel and reads its answer.
func send(addr, method, path, id string, deadlineMs int, headers string, body string) reply {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		note("client got no channel for %s: %v", id, err)
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	return exchange(c, bufio.NewReader(c), method, path, id, deadlineMs, headers, body)
}

func exchange(c net.Conn, in *bufio.Reader, method, path, id string, deadlineMs int, headers string, body string) reply {
	note("client sends %s %s %s", id, method, path)
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs)*time.Millisecond + 2*time.Second))
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n%s", method, path, id, deadlineMs, headers, length, body)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(in, &http.Request{Method: method}); err == nil {
			var data []byte
			data, err = io.ReadAll(resp.Body)
			if err == nil {
				note("client got %s status %d %q", id, resp.StatusCode, shorten(string(data)))
				return reply{resp.StatusCode, resp.Header, string(data), nil}
			}
		}
	}
	note("client got no whole answer to %s: %v", id, err)
	return reply{err: err}
}

func itoa(n int) string { return strconv.Itoa(n) }

func shorten(s string) string {
	if len(s) > 60 {
		s = s[:60] + "..."
	}
	return strings.TrimSpace(s)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standins-2 CASE RECORD")
		os.Exit(failed)
	}
	f, err := os.Create(os.Args[2])
	check(err)
	recordFile = bufio.NewWriter(f)
	dir, err = os.MkdirTemp("", "review-")
	check(err)
	run, ok := cases[os.Args[1]]
	if !ok {
		finish(failed, "no case %s", os.Args[1])
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		finish(failed, "the case was stopped")
	}()
	time.AfterFunc(115*time.Second, func() { finish(failed, "the case took too long") })
	run()
}
