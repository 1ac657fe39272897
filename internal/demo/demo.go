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

	group  *errgroup.Group
	stop   context.CancelFunc
	logger *slog.Logger
}

// Start starts the demo and returns once both entries take requests.
func Start(ctx context.Context, logger *slog.Logger) (*Demo, error) {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, running := errgroup.WithContext(running)
	d := &Demo{group: group, stop: stop, logger: logger}
	if err := d.start(ctx, running); err != nil {
		stop()
		return nil, errors.Join(err, group.Wait())
	}
	return d, nil
}

// Stop stops all parts gracefully and returns their first error.
func (d *Demo) Stop() error {
	d.stop()
	return d.group.Wait()
}

func (d *Demo) start(ctx, running context.Context) error {
	l, err := newLayout(ctx)
	if err != nil {
		return err
	}
	if err := d.startStandins(ctx, running, l); err != nil {
		return err
	}
	if err := seed(ctx, d.Log, l); err != nil {
		return err
	}
	for _, cfg := range l.entries() {
		d.group.Go(func() error { return roles.RunEntry(running, cfg, d.logger) })
		d.Entries = append(d.Entries, cfg.Listen.Callers)
		d.Operators = append(d.Operators, cfg.Listen.Operators)
	}
	for _, cfg := range l.agents() {
		d.group.Go(func() error { return roles.RunAgent(running, cfg, d.logger) })
	}
	return d.waitReady(ctx)
}

func (d *Demo) startStandins(ctx, running context.Context, l *layout) error {
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
		d.group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve stand-in")
			}
			return nil
		})
		context.AfterFunc(running, func() { d.closeLater(server) })
	}
	return nil
}

// closeLater lets the roles stop first, since they end with appends and
// orders to the stand-ins.
func (d *Demo) closeLater(server *http.Server) {
	time.AfterFunc(stopGrace, func() { _ = server.Close() })
}

// stopGrace is how long the stand-ins outlive the roles' stop.
const stopGrace = 500 * time.Millisecond

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

func (d *Demo) records(kind state.Kind) []state.Positioned {
	var found []state.Positioned
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

// settingsOf returns the defaults of an entry or agent for the demo.
func demoCommon(c settings.Common, l *layout) settings.Common {
	c.Region = region
	c.Platform = settings.Platform{Log: "http://" + l.log, Hosts: "http://" + l.hostList, Store: "http://" + l.store}
	c.Peers = l.peers()
	c.Shutdown.DrainTimeout = state.Duration(5 * time.Second)
	return c
}
