package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// soundAfter is how long an upstream must have been writing an answer for its
	// request not to be the cause of a crash.
	soundAfter = 500 * time.Millisecond
	// crashSettle is how long the loss of a connection to an upstream waits for
	// others to it, so that one report has the requests of all.
	crashSettle = 60 * time.Millisecond
)

// loadQuarantines reads the quarantines from the store once.
func (g *Gateway) loadQuarantines(ctx context.Context) {
	for {
		records, err := g.opts.Quarantines.List(ctx)
		if err == nil {
			loaded := g.crashes.load(records, time.Now())
			g.opts.Logger.Info("quarantines loaded", "records", len(records), "in_force", loaded)
			return
		}
		g.opts.Logger.Warn("quarantines not loaded", "error", err)
		if !ctxtime.Sleep(ctx, maxRetryDelay) {
			return
		}
	}
}

// reportCrashes reports crashes and sound runs to the controller as they occur.
func (g *Gateway) reportCrashes(ctx context.Context) {
	ticker := time.NewTicker(soundReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.crashes.reportNow:
		case <-ticker.C:
		}
		params, received := g.crashes.pending(time.Now())
		if len(params.Crashes) == 0 && len(params.Sound) == 0 && len(params.Quarantined) == 0 {
			continue
		}
		params.Gateway = g.opts.Name
		if err := sendReport(ctx, g, rpc.MethodCrashes, params, g.opts.Controller.ReportCrashes); err != nil {
			// The next tick repeats the report.
			g.opts.Logger.Warn("crashes not reported", "crashes", len(params.Crashes), "error", err)
			continue
		}
		received()
		ctxtime.Sleep(ctx, minDemandInterval)
	}
}

// crashKeys returns the keys under which crashes are attributed to the request. The
// last part of a prompt is specific to the request and is no key.
func (x *exchange) crashKeys() quarantine.Run {
	run := quarantine.Run{Content: quarantine.Key(quarantine.Fingerprint("", x.r.Method, x.r.Host+x.r.RequestURI, x.body))}
	for _, id := range x.prompt.ids[:max(len(x.prompt.ids)-1, 0)] {
		run.Parts = append(run.Parts, quarantine.Key(id))
	}
	return run
}

// recordEvent records that an event of a stream was written to the caller.
func (x *exchange) recordEvent(now time.Time) {
	if x.firstWrite.IsZero() {
		x.firstWrite = now
		x.stopWatch()
	}
	if now.Sub(x.firstWrite) >= soundAfter {
		x.markSound(now)
	}
}

// recordSoundRun records that an upstream has answered the request.
func (x *exchange) recordSoundRun() {
	if x.status < http.StatusMultipleChoices {
		x.markSound(time.Now())
	}
}

func (x *exchange) markSound(now time.Time) {
	if !x.sound {
		x.sound = true
		x.gateway.crashes.recordSound(x.keys, now)
	}
}

// recordLostRun records that the connection of the attempt was lost while the
// upstream ran the request. The upstream may have crashed, unless it had been writing
// the answer for some time or the attempt ended on this side.
func (x *exchange) recordLostRun(ctx context.Context, m *member, v *verdict.Verdict) {
	lost := v.Reason == verdict.ReasonUpstreamFailed || v.Reason == verdict.ReasonStreamCut
	if !lost || ctx.Err() != nil || x.sound {
		return
	}
	x.gateway.testForCrash(m, x.keys)
}

// recordNoConnection records that no connection to an upstream could be established.
func (x *exchange) recordNoConnection(ctx context.Context, m *member) {
	if ctx.Err() == nil {
		x.gateway.testForCrash(m)
	}
}

// testForCrash finds out whether an upstream has crashed, with the runs that it had.
func (g *Gateway) testForCrash(m *member, lost ...quarantine.Run) {
	now := time.Now()
	id := quarantine.CrashID{Upstream: m.upstream.Name, Started: m.upstream.Started.UnixMilli()}
	if g.crashes.recordLost(id, now, lost...) {
		go g.confirmCrash(m, id, now)
	}
}

// confirmCrash finds out whether an upstream with lost connections has crashed:
// nothing listens at its address, though it was not about to leave.
func (g *Gateway) confirmCrash(m *member, id quarantine.CrashID, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ctxtime.Sleep(ctx, crashSettle)
	listed, ok := g.view.Load().byName[id.Upstream]
	expected := ok && listed.upstream.Started.Equal(m.upstream.Started)
	crashed := expected && g.forward.Refuses(ctx, m.upstream)
	runs := g.crashes.settle(id, crashed, at)
	if crashed {
		g.opts.Logger.Warn("upstream crashed", "upstream", id.Upstream, "address", m.upstream.Address, "lost", runs)
	}
}
