package roles

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// agentChecks tells for each setting of an agent what its component sees of
// it, as a number.
var agentChecks = map[string]func(cfg settings.Agent) float64{
	"queue_requests":   func(cfg settings.Agent) float64 { return float64(queueConfig(cfg).MaxRequests) },
	"queue_bytes":      func(cfg settings.Agent) float64 { return float64(queueConfig(cfg).MaxBytes) },
	"body_bytes":       func(cfg settings.Agent) float64 { return float64(agentConfig(cfg).MaxBody) },
	"long_share":       func(cfg settings.Agent) float64 { return float64(agentConfig(cfg).MaxLong) },
	"starvation_bound": func(cfg settings.Agent) float64 { return float64(queueConfig(cfg).StarvationBound) },
	"concurrency":      func(cfg settings.Agent) float64 { return float64(agentConfig(cfg).Concurrency) },
	"memory":           func(cfg settings.Agent) float64 { return float64(agentConfig(cfg).Upstream.Memory) },
	"kind":             func(cfg settings.Agent) float64 { return float64(len(agentConfig(cfg).Upstream.Kind)) },
	"url":              func(cfg settings.Agent) float64 { return float64(len(agentConfig(cfg).BaseURL)) },
	"fencing":          func(cfg settings.Agent) float64 { return float64(len(agentConfig(cfg).Upstream.Fencing)) },
	"idle":             func(cfg settings.Agent) float64 { return newRetention(cfg.Weights, 0).cfg.IdleWeight },
	"cold_start":       func(cfg settings.Agent) float64 { return newRetention(cfg.Weights, 0).cfg.ColdStartWeight },
	"drain_timeout":    func(cfg settings.Agent) float64 { return agentConfig(cfg).Shutdown.Seconds() },
	"stop_timeout":     func(cfg settings.Agent) float64 { return agentConfig(cfg).Settle.Seconds() },
}

// Guards against a setting of an agent that has no effect.
func TestEachAgentSettingReachesItsComponent(t *testing.T) {
	g := NewWithT(t)
	before, after := settings.DefaultAgent(), settings.DefaultAgent()
	after.Limits = settings.AgentLimits{QueueRequests: 7, QueueBytes: 4096, BodyBytes: 2048, LongShare: 0.25, StarvationBound: 5}
	after.Upstream = settings.AgentUpstream{
		Kind: state.PlainService, URL: "http://x", Memory: 9, Fencing: state.FencingEnforced, Concurrency: 20,
	}
	after.Weights = settings.Weights{Idle: 2, ColdStart: 19}
	after.Shutdown = settings.Shutdown{DrainTimeout: state.Duration(2 * time.Second), StopTimeout: state.Duration(3 * time.Second)}
	want := map[string]float64{
		"queue_requests": 7, "queue_bytes": 4096, "body_bytes": 2048, "long_share": 5, "starvation_bound": 5,
		"concurrency": 20, "memory": 9, "kind": float64(len(state.PlainService)), "url": 8,
		"fencing": float64(len(state.FencingEnforced)), "idle": 2, "cold_start": 19, "drain_timeout": 2, "stop_timeout": 3,
	}
	checked := 0
	for _, table := range []any{after.Limits, after.Upstream, after.Weights, after.Shutdown} {
		for i := range reflect.TypeOf(table).NumField() {
			key := reflect.TypeOf(table).Field(i).Tag.Get("toml")
			g.Expect(agentChecks).To(HaveKey(key))
			g.Expect(agentChecks[key](after)).To(Equal(want[key]), key)
			g.Expect(agentChecks[key](before)).NotTo(Equal(want[key]), key)
			checked++
		}
	}
	g.Expect(checked).To(Equal(len(agentChecks)))
}

// Guards against a keep-alive that does not follow the gaps between requests
// or the weights, and against bursts that evict without a bound.
func TestRetentionFollowsGapsAndBoundsBursts(t *testing.T) {
	g := NewWithT(t)
	key := state.ReplicaKey{Model: "m", Version: "v"}
	keep := func(weights settings.Weights) time.Duration {
		r := newRetention(weights, time.Hour)
		for range 50 {
			r.observe(key, 40*time.Second)
		}
		return r.keepAlive(key, 10*time.Second)
	}
	long, short := keep(settings.Weights{Idle: 1, ColdStart: 100}), keep(settings.Weights{Idle: 100, ColdStart: 1})
	g.Expect(long).To(BeNumerically(">", 40*time.Second))
	g.Expect(short).To(BeNumerically("<", 40*time.Second))
	r := newRetention(settings.Weights{Idle: 1, ColdStart: 10}, time.Hour)
	g.Expect(r.keepAlive(key, 0)).To(Equal(time.Hour), "the load time is not known")
	g.Expect(r.keepAlive(key, 3*time.Second)).To(Equal(30*time.Second), "idle time costs as much as the cold start")
	g.Expect(r.keepAlive(key, time.Minute)).To(Equal(2*time.Minute), "the bound without history")

	now := time.Unix(1000, 0)
	ask := func(model state.ModelName, at, lastUsed time.Time) bool {
		use := account.Use{LastUsed: lastUsed, KeepAlive: time.Hour}
		return r.burst(at, state.ReplicaKey{Model: model}, use, account.WakeRequest{})
	}
	used := now.Add(-time.Minute)
	g.Expect(ask("fresh", now, now)).To(BeFalse())
	for range 10 {
		g.Expect(ask("a", now, used)).To(BeTrue())
	}
	g.Expect(ask("b", now, used)).To(BeTrue())
	g.Expect(ask("c", now, used)).To(BeFalse())
	g.Expect(ask("a", now, used.Add(time.Second))).To(BeFalse())
	g.Expect(ask("c", now.Add(burstWindow), used)).To(BeTrue())
}

// lockedBuffer is a log that a test may read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const agentFile = `name = "a"
host = "h"
region = "north"
data_centre = "north-a"
[listen]
callers = "127.0.0.1:1"
control = "127.0.0.1:2"
[upstream]
kind = "service"
url = "http://127.0.0.1:3"
`

// Guards against a reload that applies what needs a restart, hides what it did
// not apply, or takes a wrong file.
func TestReloadAppliesWhatItCanAndSaysTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		path := filepath.Join(t.TempDir(), "agent.toml")
		write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
		write(agentFile)
		running, err := settings.Load[settings.Agent](path)
		g.Expect(err).NotTo(HaveOccurred())
		log, level := &lockedBuffer{}, &slog.LevelVar{}
		logger := slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: level}))
		ctx, cancel := context.WithCancel(t.Context())
		signals := make(chan os.Signal, 1)
		process := Process[settings.Agent]{Logger: logger, Level: level, Reloads: ReloadOn[settings.Agent](ctx, path, signals, logger)}
		var applied []settings.Agent
		go reload(ctx, running, process, func(now settings.Agent) { applied = append(applied, now) })
		hangUp := func() {
			signals <- syscall.SIGHUP
			synctest.Wait()
		}

		write(strings.Replace(agentFile, `"a"`, `"b"`, 1) + "[weights]\nidle = 3\n[telemetry]\nlog_level = \"debug\"\n")
		hangUp()
		g.Expect(applied).To(HaveLen(1))
		g.Expect(applied[0].Weights.Idle).To(Equal(3.0))
		g.Expect(applied[0].Name).To(Equal("a"))
		g.Expect(level.Level()).To(Equal(slog.LevelDebug))
		g.Expect(log.String()).To(ContainSubstring(`msg="settings reloaded" applied="[telemetry.log_level weights.idle]" needs_restart=[name]`))
		g.Expect(strings.Count(log.String(), "\n")).To(Equal(1))

		write("name = 5")
		hangUp()
		g.Expect(applied).To(HaveLen(1))
		g.Expect(log.String()).To(ContainSubstring("settings not reloaded"))
		cancel()
		synctest.Wait()
	})
}

// Guards against an agent that does not know the entries of its settings, or
// asks those of other regions.
func TestAgentKnowsTheEntriesOfItsRegion(t *testing.T) {
	g := NewWithT(t)
	common := settings.DefaultAgent().Common
	common.Region = "north"
	common.Peers = []settings.Peer{
		{Name: "a", Region: "north", Control: "a:2"}, {Name: "b", Region: "south", Control: "b:2"}, {Name: "c", Region: "north", Control: "c:2"},
	}
	entries := newDirectory(nil, entryAddresses(common))
	g.Expect(entries.addresses()).To(Equal([]string{"a:2", "c:2"}))
	watcher, ok := entries.watch()
	g.Expect(ok).To(BeTrue())
	g.Expect(watcher).To(Equal("a:2"))
}
