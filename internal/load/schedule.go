// Package load generates open-loop load against a running entry whose engines
// are stand-ins, and checks and measures every answer.
package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Weighted is a value with its share in a mix.
type Weighted struct {
	Value  string
	Weight float64
}

// Step changes the rate for a while.
type Step struct {
	At, For time.Duration
	// Rate replaces Config.Rate meanwhile, in requests per second.
	Rate float64
}

// Burst sends requests all at one time.
type Burst struct {
	At    time.Duration
	Count int
}

// Config describes a run.
type Config struct {
	// URLs are the callers' addresses of the entries, used in turn.
	URLs []string
	// Caller is the name that requests carry.
	Caller string
	// Rate is the mean number of requests per second; zero sends only bursts.
	Rate     float64
	Duration time.Duration
	// Seed fixes arrival times and contents.
	Seed uint64
	// Models and Priorities are mixes. A model may be "model:adapter".
	// Without priorities all requests are normal.
	Models     []Weighted
	Priorities []Weighted
	// ShortTokens and LongTokens are the output lengths; LongShare of the
	// requests are long.
	ShortTokens, LongTokens int
	LongShare               float64
	// StreamShare of the requests ask for a stream.
	StreamShare float64
	Steps       []Step
	Bursts      []Burst
	// Deadline counts from the intended send time.
	Deadline time.Duration
	// MaxRequests bounds the run and MaxOpen the requests in flight; what
	// would exceed MaxOpen is counted as not sent.
	MaxRequests, MaxOpen int
}

// Arrival is a request and its intended send time since the start.
type Arrival struct {
	Number   int
	At       time.Duration
	Model    string
	Priority string
	Prompt   string
	Tokens   int
	Long     bool
	Stream   bool
}

// Bounds of a run.
const (
	maxDuration = time.Hour
	maxRequests = 1_000_000
)

func (c Config) check() error {
	switch {
	case len(c.URLs) == 0:
		return errors.New("load: no entry to send to")
	case len(c.Models) == 0:
		return errors.New("load: no model to ask for")
	case c.Duration <= 0 || c.Duration > maxDuration:
		return errors.Errorf("load: the duration must be positive and at most %s", maxDuration)
	case c.Deadline <= 0 || c.Deadline > maxDuration:
		return errors.Errorf("load: the deadline must be positive and at most %s", maxDuration)
	case c.Rate < 0 || c.ShortTokens < 1 || c.LongTokens < 1:
		return errors.New("load: the rate must not be negative and lengths must be at least 1")
	case c.MaxRequests < 1 || c.MaxRequests > maxRequests || c.MaxOpen < 1:
		return errors.Errorf("load: want 1 to %d requests and at least one open", maxRequests)
	}
	for _, p := range c.Priorities {
		if _, ok := state.ParseClass(p.Value); !ok {
			return errors.Errorf("load: unknown priority %q", p.Value)
		}
	}
	for _, mix := range [][]Weighted{c.Models, c.Priorities} {
		for _, w := range mix {
			if w.Weight <= 0 {
				return errors.Errorf("load: the weight of %q must be positive", w.Value)
			}
		}
	}
	return nil
}

// Plan returns the arrivals of a run in order of time. It depends on c only.
func Plan(c Config) []Arrival {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	times := c.poisson(random)
	for _, burst := range c.Bursts {
		times = append(times, slices.Repeat([]time.Duration{burst.At}, min(burst.Count, c.MaxRequests))...)
	}
	slices.Sort(times)
	times = times[:min(len(times), c.MaxRequests)]
	arrivals := make([]Arrival, 0, len(times))
	for i, at := range times {
		arrivals = append(arrivals, c.arrival(i, at, random))
	}
	return arrivals
}

func (c Config) arrival(number int, at time.Duration, random *rand.Rand) Arrival {
	a := Arrival{
		Number:   number,
		At:       at,
		Model:    pick(c.Models, random),
		Priority: cmp.Or(pick(c.Priorities, random), state.ClassNormal.String()),
		Prompt:   fmt.Sprintf("request %d of seed %d", number, c.Seed),
		Tokens:   c.ShortTokens,
		Long:     random.Float64() < c.LongShare,
		Stream:   random.Float64() < c.StreamShare,
	}
	if a.Long {
		a.Tokens = c.LongTokens
	}
	return a
}

func pick(mix []Weighted, random *rand.Rand) string {
	total := 0.0
	for _, w := range mix {
		total += w.Weight
	}
	point := random.Float64() * total
	for _, w := range mix {
		if point -= w.Weight; point < 0 {
			return w.Value
		}
	}
	return ""
}

// poisson draws the arrivals of a Poisson process whose rate is constant
// between changes. The process has no memory, so a gap that reaches past a
// change is drawn anew from there.
func (c Config) poisson(random *rand.Rand) []time.Duration {
	var times []time.Duration
	at := time.Duration(0)
	for at < c.Duration && len(times) < c.MaxRequests {
		rate, until := c.rateAt(at)
		if rate <= 0 {
			at = until
			continue
		}
		next := at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
		if next >= until {
			at = until
			continue
		}
		at = next
		times = append(times, at)
	}
	return times
}

// rateAt returns the rate at a time and the time of its next change. The first
// step that covers the time counts.
func (c Config) rateAt(at time.Duration) (float64, time.Duration) {
	rate, until := c.Rate, c.Duration
	for _, step := range slices.Backward(c.Steps) {
		end := step.At + step.For
		switch {
		case at < step.At:
			until = min(until, step.At)
		case at < end:
			rate, until = step.Rate, min(until, end)
		}
	}
	return rate, until
}
