package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// table writes the results.
type table struct {
	rows    *tabwriter.Writer
	targets []string
	out     io.Writer
}

func newTable(w io.Writer) *table {
	t := &table{rows: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0), out: w}
	_, _ = fmt.Fprintln(t.rows, "size\texperiment\tversion\toffered\tin time h/n/l %\trefused\tlate\tcut\tfailed\tlost\trepeated\tp50\tp99\tp99.9\tidle h\tloads\tcrossed MB\thedges")
	return t
}

func (t *table) add(s size, e experiment, o outcomes) {
	t.row(s, e, "naive", o.naive)
	t.row(s, e, "ours", o.ours)
	if o.base != nil {
		t.row(s, e, "base", o.base)
	}
	if o.oracle != nil {
		t.row(s, e, "oracle", o.oracle)
	}
	t.judge(s, e, o)
}

func (t *table) row(s size, e experiment, name string, r *result) {
	offered := 0
	var share [3]float64
	for class, n := range r.offered {
		offered += n
		share[class] = 100 * float64(r.inTime[class]) / float64(max(n, 1))
	}
	_, _ = fmt.Fprintf(t.rows, "%s\t%s\t%s\t%d\t%.1f/%.1f/%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.2f\t%d\t%.1f\t%d\n",
		s.name, e.name, name, offered, share[0], share[1], share[2],
		r.refused, r.late, r.cut, r.failed, r.lost, r.repeated,
		show(quantile(r.first, 50)), show(quantile(r.first, 99)), show(quantile(r.first, 99.9)),
		r.idle.Hours(), r.loads, float64(r.crossed)/1e6, r.hedges)
}

func show(d time.Duration) string { return d.Round(10 * time.Millisecond).String() }

// judge compares ours with the targets of the design page.
func (t *table) judge(s size, e experiment, o outcomes) {
	t.target(s, e, "late or lost", float64(o.ours.late+o.ours.lost), 0, true)
	t.target(s, e, "admitted but cut at the deadline", float64(o.ours.cut), 0, true)
	switch e.name {
	case "swing":
		t.target(s, e, "in time at the peak / oracle", float64(o.ours.peakInTime)/float64(max(o.base.peakInTime, 1)), 0.95, false)
	case "stragglers":
		first := func(r *result) float64 { return ratio(quantile(r.first, 99), quantile(o.base.first, 99)) }
		total := func(r *result) float64 { return ratio(quantile(r.shortTotal, 99), quantile(o.base.shortTotal, 99)) }
		t.target(s, e, fmt.Sprintf("p99 first token / without stragglers (oracle: %.2f)", first(o.oracle)), first(o.ours), 2, true)
		t.target(s, e, fmt.Sprintf("p99 total / without stragglers (oracle: %.2f)", total(o.oracle)), total(o.ours), 2, true)
	case "long":
		t.target(s, e, "p99 of short work / without long", ratio(quantile(o.ours.shortTotal, 99), quantile(o.base.shortTotal, 99)), 1.5, true)
	case "quiet-day":
		t.target(s, e, fmt.Sprintf("idle replica hours / oracle (naive: %.2f)", ratio(o.naive.replicaIdle, o.naive.oracleIdle)), ratio(o.ours.replicaIdle, o.ours.oracleIdle), 1.3, true)
	case "adapters":
		t.judgeAdapters(s, e, o)
	case "kv-move":
		t.judgeMoves(s, e, o)
	case "prefixes":
		t.judgePrefixes(s, e, o)
	case "broadcast":
		t.target(s, e, "(cold start - round trip) / best load", ratio(o.ours.coldStart, o.ours.bestLoad), 1.2, true)
	}
}

func ratio(a, b time.Duration) float64 { return a.Seconds() / max(b.Seconds(), 1e-9) }

func (t *table) target(s size, e experiment, what string, value, limit float64, most bool) {
	met := value >= limit
	if most {
		met = value <= limit
	}
	verdict := "met"
	switch {
	case met:
	case limit == 0:
		verdict = fmt.Sprintf("MISSED by %.0f", value)
	case most:
		verdict = fmt.Sprintf("MISSED by a factor of %.2f", value/limit)
	default:
		verdict = fmt.Sprintf("MISSED by a factor of %.2f", limit/value)
	}
	t.targets = append(t.targets, fmt.Sprintf("%s\t%s\t%s\t%.2f\ttarget %.2f\t%s", s.name, e.name, what, value, limit, verdict))
}

func (t *table) flush() error {
	_, _ = fmt.Fprintln(t.rows)
	for _, line := range t.targets {
		_, _ = fmt.Fprintln(t.rows, line)
	}
	return t.rows.Flush()
}
