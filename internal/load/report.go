package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogramDigits is the precision of the histograms, in decimal digits.
const histogramDigits = 3

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Group sums up the requests of one length. Latencies are those of whole and
// right answers, in time or late; first and between are of streams only.
type Group struct {
	Requests int `json:"requests"`
	// InTime, Late, Refused, Cut, Wrong and Unsent add up to Requests.
	InTime     int            `json:"served_in_time"`
	Late       int            `json:"late"`
	Refused    int            `json:"refused"`
	Cut        int            `json:"cut"`
	Wrong      int            `json:"wrong"`
	Unsent     int            `json:"not_sent"`
	Reasons    map[string]int `json:"refused_by_reason"`
	FirstToken Latency        `json:"first_token"`
	Between    Latency        `json:"between_tokens"`
	Total      Latency        `json:"total"`
}

// Report is the result of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Planned int     `json:"planned"`
	Seconds float64 `json:"seconds"`
	All     Group   `json:"all"`
	Short   Group   `json:"short"`
	Long    Group   `json:"long"`
}

// groupRecorder collects the measurements of a group.
type groupRecorder struct {
	group                 Group
	first, between, total *hdrhistogram.Histogram
}

func newGroupRecorder(limit time.Duration) *groupRecorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, limit.Microseconds(), histogramDigits)
	}
	return &groupRecorder{
		group: Group{Reasons: make(map[string]int)},
		first: histogram(), between: histogram(), total: histogram(),
	}
}

func (g *groupRecorder) add(m measurement) {
	g.group.Requests++
	switch m.outcome {
	case served:
		g.group.InTime++
	case late:
		g.group.Late++
	case refused:
		g.group.Refused++
		g.group.Reasons[m.reason]++
	case cut:
		g.group.Cut++
	case wrong:
		g.group.Wrong++
	case unsent:
		g.group.Unsent++
	}
	if m.outcome != served && m.outcome != late {
		return
	}
	record(g.total, m.total)
	if !m.arrival.Stream {
		return
	}
	record(g.first, m.first)
	for _, gap := range m.between {
		record(g.between, gap)
	}
}

// record puts what exceeds the range into the highest value.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue()))
}

func (g *groupRecorder) sum() Group {
	g.group.FirstToken, g.group.Between, g.group.Total = latency(g.first), latency(g.between), latency(g.total)
	return g.group
}

func latency(h *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P95:   millis(h.ValueAtQuantile(95)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

// recorder collects the measurements of a run.
type recorder struct {
	seed uint64

	mu               sync.Mutex
	all, short, long *groupRecorder
}

func newRecorder(cfg Config) *recorder {
	limit := cfg.Deadline + grace
	return &recorder{
		seed: cfg.Seed,
		all:  newGroupRecorder(limit), short: newGroupRecorder(limit), long: newGroupRecorder(limit),
	}
}

func (r *recorder) add(m measurement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(m)
	if m.arrival.Long {
		r.long.add(m)
	} else {
		r.short.add(m)
	}
}

func (r *recorder) report(planned int, took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Report{
		Seed: r.seed, Planned: planned, Seconds: took.Seconds(),
		All: r.all.sum(), Short: r.short.sum(), Long: r.long.sum(),
	}
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "\tall\tshort\tlong\t")
	groups := []Group{r.All, r.Short, r.Long}
	row := func(name string, cell func(Group) any) {
		_, _ = fmt.Fprint(t, name)
		for _, g := range groups {
			_, _ = fmt.Fprintf(t, "\t%v", cell(g))
		}
		_, _ = fmt.Fprintln(t, "\t")
	}
	row("requests", func(g Group) any { return g.Requests })
	row("served in time", func(g Group) any { return g.InTime })
	row("late", func(g Group) any { return g.Late })
	row("refused", func(g Group) any { return g.Refused })
	for _, reason := range slices.Sorted(maps.Keys(r.All.Reasons)) {
		row(reason, func(g Group) any { return g.Reasons[reason] })
	}
	row("cut", func(g Group) any { return g.Cut })
	row("wrong", func(g Group) any { return g.Wrong })
	row("not sent", func(g Group) any { return g.Unsent })
	latencies := []struct {
		name string
		of   func(Group) Latency
	}{
		{"first token", func(g Group) Latency { return g.FirstToken }},
		{"between tokens", func(g Group) Latency { return g.Between }},
		{"total", func(g Group) Latency { return g.Total }},
	}
	for _, l := range latencies {
		row(l.name+" p50 ms", func(g Group) any { return fmt.Sprintf("%.1f", l.of(g).P50) })
		row(l.name+" p99 ms", func(g Group) any { return fmt.Sprintf("%.1f", l.of(g).P99) })
	}
	return t.Flush()
}
