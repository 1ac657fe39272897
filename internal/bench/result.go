package bench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// result is what one run of one version measured.
type result struct {
	offered, inTime                  [state.ClassCount]int
	refused, late, cut, failed, lost int
	repeated, hedges                 int
	// overBudget counts sends to other regions beyond the byte budget.
	overBudget int
	// promptBytes counts the prompts processed, and hitBytes what of them was
	// in a prefix cache.
	promptBytes, hitBytes int
	// kvMoves counts moved KV caches, and kvBytes their volume.
	kvMoves int
	kvBytes float64
	// overfull counts loads and requests beyond an upstream's capacity.
	overfull                     int
	loads                        int
	crossed                      state.Bytes
	first, shortTotal, coldFirst *hdrhistogram.Histogram
	idle                         time.Duration
	// replicaIdle sums the time that replicas are ready with nothing running,
	// and oracleIdle the same for an oracle that knows all gaps and weighs
	// them with the default weights.
	replicaIdle, oracleIdle time.Duration
	// coldStart is the time from the first request of the burst's model to
	// the first start of service, less a round trip.
	coldStart  time.Duration
	bestLoad   time.Duration
	peakInTime int
	// burstFirst is the time to first token of the burst for adapters.
	burstFirst *hdrhistogram.Histogram
	// adapterLoads counts loads of adapters, mostInTransit those at once, and
	// adapterReloads those of adapters in steady use that had been evicted.
	adapterLoads, mostInTransit, adapterReloads int
}

func newResult() *result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3) }
	return &result{first: histogram(), shortTotal: histogram(), coldFirst: histogram(), burstFirst: histogram()}
}

func (r *result) served() int {
	total := 0
	for _, n := range r.inTime {
		total += n
	}
	return total
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// noteColdStart measures the start of the first service of the burst's model.
func (w *world) noteColdStart(r *request) {
	if w.exp.burst > 0 && r.model == w.size.models-1 && w.result.coldStart == 0 {
		w.result.coldStart = w.now.Sub(epoch.Add(w.exp.burstAt)) - 2*w.delay(r.entry, w.ups[w.grants[r.model][0]])
	}
}

// oracleIdle keeps one replica of a model over a gap if the idle time costs
// less than the cold start.
func (w *world) oracleIdle(all []*request) time.Duration {
	ordered := slices.Clone(all)
	slices.SortFunc(ordered, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	busyUntil := make(map[int]time.Time)
	var idle time.Duration
	for _, r := range ordered {
		until, seen := busyUntil[r.model]
		gap := r.arrived.Sub(until)
		const costRatio = 10
		if seen && gap > 0 && gap < costRatio*w.bestLoad(r.model) {
			idle += gap
		}
		if end := r.arrived.Add(r.total); end.After(until) {
			busyUntil[r.model] = end
		}
	}
	return idle
}

// bestLoad is the shortest load time of a model under its grants.
func (w *world) bestLoad(model int) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, up := range w.grants[model] {
		work, _ := w.loadWork(model, up)
		best = min(best, work)
	}
	return best
}

// outcome is how a request ended for its caller.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeLost
	// outcomeCut is an admitted request whose caller is told, before the
	// deadline, that its work may have run.
	outcomeCut
)

// end records the end of a request; only the first one counts.
func (w *world) end(r *request, how outcome) {
	if r.ended {
		return
	}
	r.ended = true
	w.pending--
	late := w.now.After(r.deadline)
	switch {
	case how == outcomeLost:
		w.result.lost++
	case late:
		// Whatever the answer says, the caller had it too late.
		w.result.late++
	case how == outcomeRefused:
		w.result.refused++
	case how == outcomeFailed:
		w.result.failed++
	case how == outcomeCut:
		w.result.cut++
	default:
		w.result.inTime[r.class]++
		if at := r.arrived.Sub(epoch); at >= 20*time.Second && at < 70*time.Second {
			w.result.peakInTime++
		}
	}
	if how == outcomeServed {
		w.recordLatency(r)
	}
}

func (w *world) recordLatency(r *request) {
	record := func(h *hdrhistogram.Histogram, d time.Duration) {
		// Values beyond the range of the histogram cannot occur within an
		// hour of virtual time.
		_ = h.RecordValue(max(int64(d/time.Microsecond), 1))
	}
	record(w.result.first, r.first)
	if r.burst {
		record(w.result.burstFirst, r.first)
	}
	if !r.long {
		record(w.result.shortTotal, w.now.Sub(r.arrived))
	}
	if r.model == w.size.models-1 {
		record(w.result.coldFirst, r.first)
	}
}

// begin notes the first token of a request at its caller.
func (w *world) begin(r *request) {
	if !r.started {
		r.started = true
		r.first = w.now.Sub(r.arrived)
	}
}

func (w *world) close(all []*request) {
	w.result.bestLoad = w.bestLoad(w.size.models - 1)
	w.result.oracleIdle = w.oracleIdle(all)
	for _, u := range w.ups {
		u.account()
		w.result.idle += u.idle
		for _, rep := range u.replicas {
			w.closeIdle(rep)
		}
	}
	for _, r := range all {
		w.result.offered[r.class]++
		if !r.ended {
			w.result.lost++
		}
		if !r.repeatable && r.runs > 1 {
			w.result.repeated++
		}
	}
}

func sortExecutions(all []*execution) {
	slices.SortFunc(all, func(a, b *execution) int { return cmp.Compare(a.r.id, b.r.id) })
}
