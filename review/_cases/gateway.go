package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// graceS is the grace of a planned stop, as on the users' sheets.
const graceS = 8

// gateway is a place where a gateway runs, one process after the other.
type gateway struct {
	name, ip, callers, ready, control, config, log string
	cmd                                            *exec.Cmd
	done                                           chan struct{}
}

// world is the system with its stand-ins.
type world struct {
	dir      string
	store    *store
	gateways []*gateway
	runners  []*runner
	engines  []*engine
}

func newWorld() *world {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	return &world{dir: dir, store: startStore()}
}

// addGateways starts n gateways with the deploy file's command and settings, and
// waits until all are ready.
func (w *world) addGateways(n int) {
	for i := range n {
		g := &gateway{name: fmt.Sprint("front-", i+1), ip: fmt.Sprint("127.0.0.", 11+i)}
		g.callers, g.ready, g.control = freeAddr(g.ip), freeAddr(g.ip), freeAddr(g.ip)
		g.config, g.log = filepath.Join(w.dir, g.name+".toml"), filepath.Join(w.dir, g.name+".log")
		must(os.WriteFile(g.config, []byte(w.settings(g)), 0o600))
		w.gateways = append(w.gateways, g)
		w.boot(g)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				cannotRun("gateway %s does not become ready; its log: %s", g.name, tail(g.log))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for w.store.leaseHolder() == "" && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	// The holder asks the runners what they hold.
	time.Sleep(2 * time.Second)
}

func (w *world) boot(g *gateway) {
	out, err := os.OpenFile(g.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = out.Close() }()
	// The command of deploy/system.toml.
	g.cmd = exec.Command("target/lagoonvalve", "gateway")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONVALVE_CONFIG=" + g.config}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		cannotRun("target/lagoonvalve does not start: %v", err)
	}
	done := make(chan struct{})
	g.done = done
	go func(cmd *exec.Cmd) {
		defer close(done)
		_ = cmd.Wait()
	}(g.cmd)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.done
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/lagoonvalve/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// holder returns the gateway that holds the lease.
func (w *world) holder() *gateway {
	host := w.store.leaseHolder()
	for _, g := range w.gateways {
		if g.name == host {
			return g
		}
	}
	return nil
}

// close ends everything that the case has started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, r := range w.runners {
		r.exit()
	}
	for _, e := range w.engines {
		e.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// settings fills in the template of the deploy file as the platform does.
func (w *world) settings(g *gateway) string {
	first, second := freeAddr(g.ip), freeAddr(g.ip)
	fields := map[string]any{
		"nodeName": g.name, "region": "region-1", "zone": "zone-1", "ip": g.ip,
		"listen":    map[string]any{"front": g.callers, "ready": g.ready, "control": g.control},
		"portRange": []any{port(first), port(second)},
		"platform":  map[string]any{"addr": w.store.addr},
		"zones":     map[string]any{"zone-1": "region-1"},
		"bounds": map[string]any{
			"graceS": graceS, "leaseMs": 3000, "retryBudgetRatio": 0.2, "retrySlack": 58,
		},
	}
	text, err := os.ReadFile("deploy/gateway.toml.tmpl")
	must(err)
	return render(string(text), fields, nil, "")
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z0-9.]+)\}\}(.*?)\{\{/([A-Za-z0-9.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.@]+)(\|json)?\}\}`)
)

// render fills in the sections and placeholders that the template uses.
func render(text string, fields map[string]any, entry any, key string) string {
	text = section.ReplaceAllStringFunc(text, func(match string) string {
		parts := section.FindStringSubmatch(match)
		value, ok := lookup(fields, parts[1])
		if !ok {
			return ""
		}
		if table, isTable := value.(map[string]any); isTable {
			var b strings.Builder
			for name, v := range table {
				b.WriteString(render(parts[2], fields, v, name))
			}
			return b.String()
		}
		return render(parts[2], fields, nil, "")
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := entry, true
		switch parts[1] {
		case ".":
		case "@":
			value = key
		default:
			value, ok = lookup(fields, parts[1])
		}
		if !ok {
			return ""
		}
		if parts[2] != "" {
			encoded, err := json.Marshal(value)
			must(err)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func lookup(fields map[string]any, path string) (any, bool) {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, value != nil
}

func freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func port(addr string) int {
	_, text, err := net.SplitHostPort(addr)
	must(err)
	n, err := strconv.Atoi(text)
	must(err)
	return n
}

func tail(path string) string {
	data, _ := os.ReadFile(path)
	return string(data[max(len(data)-500, 0):])
}
