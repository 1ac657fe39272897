// Package demo runs the whole system in one process on loopback: stand-ins of
// the platform, two entries in two data centres, and four upstreams with
// agents, three model runners and a plain service.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/roles"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	region        = state.Region("north")
	startTimeout  = 30 * time.Second
	readyPoll     = 20 * time.Millisecond
	runnerMemory  = 24 * state.GiB
	headerTimeout = 5 * time.Second
)

var dataCentres = []state.DataCentre{"north-1", "north-2"}

// Demo is a running demo.
type Demo struct {
	// Entries and Operators hold the HTTP addresses of the two entries.
	Entries   []string
	Operators []string
	// Log, Engines and Service are the stand-ins behind the system.
	Log     *standin.Log
	Engines []*standin.Engine
	Service *standin.Service

	logger *slog.Logger
	// layers holds the parts in the order in which they stop: agents end with
	// records that entries pass on, and entries with records for the log.
	agents, entries, standins *layer
}

// layer is a set of parts that stop together.
type layer struct {
	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
}

func newLayer(ctx context.Context) *layer {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, running := errgroup.WithContext(running)
	return &layer{group: group, ctx: running, stop: stop}
}

func (l *layer) end() error {
	l.stop()
	return l.group.Wait()
}

// Start starts the demo and returns once both entries take requests.
func Start(ctx context.Context, logger *slog.Logger) (*Demo, error) {
	d := &Demo{logger: logger, agents: newLayer(ctx), entries: newLayer(ctx), standins: newLayer(ctx)}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// Stop stops all parts gracefully and returns their errors.
func (d *Demo) Stop() error {
	return errors.Join(d.agents.end(), d.entries.end(), d.standins.end())
}

func (d *Demo) start(ctx context.Context) error {
	l, err := newLayout(ctx)
	if err != nil {
		return err
	}
	if err := d.startStandins(ctx, l); err != nil {
		return err
	}
	if err := seed(ctx, d.Log, l); err != nil {
		return err
	}
	for _, cfg := range l.entries() {
		d.entries.group.Go(func() error { return roles.RunEntry(d.entries.ctx, cfg, d.logger) })
		d.Entries = append(d.Entries, cfg.Listen.Callers)
		d.Operators = append(d.Operators, cfg.Listen.Operators)
	}
	for _, cfg := range l.agents() {
		d.agents.group.Go(func() error { return roles.RunAgent(d.agents.ctx, cfg, d.logger) })
	}
	return d.waitReady(ctx)
}

func (d *Demo) startStandins(ctx context.Context, l *layout) error {
	d.Log = standin.NewLog(standin.LogConfig{AppendsPerSecond: 300})
	store := standin.NewStore(standin.StoreConfig{BytesPerSecond: 16 * state.GiB})
	hosts := standin.NewHosts(time.Second, l.hosts()...)
	d.Service = standin.NewService(serviceName, "order")
	handlers := map[string]http.Handler{l.log: d.Log, l.store: store, l.hostList: hosts, l.upstreams[3].backend: d.Service}
	for i, u := range l.upstreams[:3] {
		engine := standin.NewEngine(standin.EngineConfig{
			Name: string(u.name), Memory: runnerMemory, Fencing: u.fencing,
		}, store)
		d.Engines = append(d.Engines, engine)
		handlers[l.upstreams[i].backend] = engine
	}
	for addr, handler := range handlers {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
		if err != nil {
			return errors.Wrap(err, "bind stand-in")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		d.standins.group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve stand-in")
			}
			return nil
		})
		context.AfterFunc(d.standins.ctx, func() { _ = server.Close() })
	}
	return nil
}

// waitReady waits until both entries are ready and the model runners have
// their grants.
func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, addr := range d.Entries {
		if err := poll(ctx, func() bool { return isReady(ctx, addr) }); err != nil {
			return errors.Wrap(err, "entry not ready")
		}
	}
	granted := func() bool {
		return len(d.records(state.KindGrant)) >= len(models) && len(d.records(state.KindAgentStart)) == 4
	}
	if err := poll(ctx, granted); err != nil {
		return errors.Wrap(err, "no grants")
	}
	return nil
}

func (d *Demo) records(kind state.Kind) []state.StoredRecord {
	var found []state.StoredRecord
	for _, record := range d.Log.Records(platform.RegionStream(region)) {
		if record.Kind == kind {
			found = append(found, record)
		}
	}
	return found
}

func poll(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// Describe prints the addresses and a first request to paste.
func (d *Demo) Describe(w io.Writer) {
	_, _ = fmt.Fprintf(w, "callers:   http://%s  http://%s\n", d.Entries[0], d.Entries[1])
	_, _ = fmt.Fprintf(w, "operators: http://%s  http://%s\n\n", d.Operators[0], d.Operators[1])
	_, _ = fmt.Fprintf(w, "A first request:\n\n  curl -s http://%s/v1/completions -H 'Lagoon-Caller: box-office' \\\n"+
		"    -d '{\"model\": \"seating\", \"prompt\": \"Where is row 12?\", \"max_tokens\": 8}'\n\n", d.Entries[0])
}

// demoCommon fills the settings that entries and agents share.
func demoCommon(c settings.Common, l *layout) settings.Common {
	c.Region = region
	c.Peers = l.peers()
	c.Shutdown.DrainTimeout = state.Duration(5 * time.Second)
	return c
}
