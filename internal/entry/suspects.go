package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// roleQuarantine is the soft role of the entry that attributes crashes to
	// a fingerprint.
	roleQuarantine membership.Role = "quarantine"
	// maxSuspects bounds the fingerprints that an entry remembers in order to
	// clear them.
	maxSuspects = 4096
	// crashTimeout bounds the report of a crash.
	crashTimeout = 2 * time.Second
)

// suspects reports the requests of this entry that were running in a crashed
// upstream to the entries that attribute crashes, and clears those that run
// to their end later.
type suspects struct {
	entry   *Entry
	running context.Context

	mu    sync.Mutex
	known map[uint64]bool
}

func newSuspects(e *Entry, running context.Context) *suspects {
	return &suspects{entry: e, running: running, known: make(map[uint64]bool)}
}

// crashed reports a request that was running when an upstream crashed.
func (s *suspects) crashed(fingerprint uint64, upstream state.UpstreamName) {
	s.mu.Lock()
	if len(s.known) < maxSuspects {
		s.known[fingerprint] = true
	}
	s.mu.Unlock()
	go s.report(rpc.CrashParams{Fingerprint: fingerprint, Upstream: upstream})
}

// completed clears a request if it was a suspect.
func (s *suspects) completed(fingerprint uint64) {
	s.mu.Lock()
	suspect := s.known[fingerprint]
	delete(s.known, fingerprint)
	s.mu.Unlock()
	if suspect {
		go s.report(rpc.CrashParams{Fingerprint: fingerprint, Completed: true})
	}
}

func (s *suspects) report(params rpc.CrashParams) {
	ctx, cancel := context.WithTimeout(s.running, crashTimeout)
	defer cancel()
	current := s.entry.control.view()
	owner := current.ring.Owner(roleQuarantine, strconv.FormatUint(params.Fingerprint, 16))
	if owner == s.entry.control.cfg.name {
		s.entry.control.post(ctx, crashReported{params: params})
		return
	}
	if err := s.entry.caller.Call(ctx, current.addresses[owner], rpc.MethodCrash, params, &struct{}{}); err != nil {
		s.entry.meter.Add("lagoonvalve_crash_reports_lost_total", 1)
	}
}

// crashReported is a report of a crash to the entry that attributes it.
type crashReported struct{ params rpc.CrashParams }

func (e crashReported) apply(c *control, now time.Time) {
	if e.params.Completed {
		c.crashes.RecordCompletion(e.params.Fingerprint)
		return
	}
	guilty := c.crashes.RecordCrash(quarantine.Crash{
		Upstream: e.params.Upstream, Running: []uint64{e.params.Fingerprint}, Time: now,
	})
	for _, body := range guilty {
		c.deps.logger.Warn("request quarantined after crashes of upstreams", "fingerprint", fingerprintText(body.Fingerprint), "until", body.Until)
		go c.writeQuarantine(body)
	}
}

func (c *control) writeQuarantine(body state.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	if err := c.deps.quarantine(ctx, body); err != nil {
		c.deps.logger.Warn("quarantine not written; the next crash repeats it", "error", err)
	}
}

// quarantineAutomatically writes a quarantine and notes it in the audit trail.
func (e *Entry) quarantineAutomatically(ctx context.Context, body state.Quarantine) error {
	err := e.appendQuarantine(ctx, body)
	e.trail.Automatic(state.Audit{
		Time: time.Now(), Action: "quarantine", Name: fingerprintText(body.Fingerprint),
		Accepted: err == nil, Detail: "until " + body.Until.Format(time.RFC3339), Offset: state.NoOffset,
	})
	return err
}
