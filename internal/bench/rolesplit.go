package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The roles experiment is a model of its own, since the slots of the other
// experiments do not slow each other down. An engine runs iterations: each
// processes a chunk of one prompt, in turn among the prompts, and one token of
// every request that decodes.
const (
	rolePerToken   = 100 * time.Microsecond
	roleChunk      = 256
	roleStep       = 20 * time.Millisecond
	roleOutput     = 100
	roleShort      = 300
	roleLong       = 6000
	roleLongShare  = 0.1
	roleLinkGbit   = 25
	roleTokenBytes = 4 * kvPerByte
	// rolePerRunner is the requests per second and runner, about 60% of what
	// undivided runners can do.
	rolePerRunner = 1.8
	roleLength    = 120 * time.Second
)

type roleJob struct {
	arrived      time.Time
	prompt, left int
	output       int
	last         time.Time
}

// roleEngine is a runner; a prefill runner passes its requests on.
type roleEngine struct {
	m        *roleModel
	passOn   bool
	prompts  []*roleJob
	decoding []*roleJob
	waiting  []*roleJob
	busy     bool
}

type roleModel struct {
	*sim
	prefill, decode []*roleEngine
	// first is the time to first token of short prompts, between the time
	// between tokens, and total the time of short prompts.
	first, between, total *hdrhistogram.Histogram
	offered, finished     int
}

// runRoles runs runners of which some only prefill; none means no division.
func runRoles(seed uint64, runners, prefill int) *roleModel {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3) }
	m := &roleModel{sim: newSim(), first: histogram(), between: histogram(), total: histogram()}
	for i := range runners {
		e := &roleEngine{m: m, passOn: i < prefill}
		if e.passOn || prefill == 0 {
			m.prefill = append(m.prefill, e)
		}
		if !e.passOn {
			m.decode = append(m.decode, e)
		}
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	for at := time.Duration(0); at < roleLength; at += time.Duration(rng.ExpFloat64() / (rolePerRunner * float64(runners)) * float64(time.Second)) {
		prompt := roleShort
		if rng.Float64() < roleLongShare {
			prompt = roleLong
		}
		m.offered++
		m.after(at, func() {
			leastLoaded(m.prefill).offer(&roleJob{arrived: m.now, prompt: prompt, left: prompt, output: roleOutput})
		})
	}
	m.runUntil(epoch.Add(roleLength + 30*time.Second))
	return m
}

func leastLoaded(engines []*roleEngine) *roleEngine {
	best := engines[0]
	for _, e := range engines[1:] {
		if e.load() < best.load() {
			best = e
		}
	}
	return best
}

// load is the work left, in tokens of prompt.
func (e *roleEngine) load() int {
	load := 0
	for _, j := range append(append([]*roleJob(nil), e.prompts...), e.waiting...) {
		load += j.left + roleShort
	}
	return load + len(e.decoding)*roleShort
}

func (e *roleEngine) offer(j *roleJob) {
	e.waiting = append(e.waiting, j)
	e.run()
}

// admit fills the slots; those of prefill runners are not limited by memory for
// long outputs, so they hold as many.
func (e *roleEngine) admit() {
	for len(e.waiting) > 0 && len(e.prompts)+len(e.decoding) < slotsPerRunner {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.left > 0 {
			e.prompts = append(e.prompts, j)
		} else {
			e.decoding = append(e.decoding, j)
		}
	}
}

// run starts the next iteration if none is under way.
func (e *roleEngine) run() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.prompts)+len(e.decoding) == 0 {
		return
	}
	e.busy = true
	var took time.Duration
	if len(e.decoding) > 0 {
		took = roleStep
	}
	var chunk *roleJob
	if len(e.prompts) > 0 {
		chunk = e.prompts[0]
		tokens := min(chunk.left, roleChunk)
		chunk.left -= tokens
		took += time.Duration(tokens) * rolePerToken
	}
	decoding := append([]*roleJob(nil), e.decoding...)
	e.m.after(took, func() {
		e.busy = false
		e.tokens(decoding)
		e.prefilled(chunk)
		e.run()
	})
}

// tokens gives each request that decodes its next token.
func (e *roleEngine) tokens(decoding []*roleJob) {
	kept := e.decoding[:0]
	for _, j := range decoding {
		_ = e.m.between.RecordValue(int64(e.m.now.Sub(j.last) / time.Microsecond))
		j.last = e.m.now
		if j.output--; j.output > 0 {
			kept = append(kept, j)
			continue
		}
		e.m.finished++
		if j.prompt == roleShort {
			_ = e.m.total.RecordValue(int64(e.m.now.Sub(j.arrived) / time.Microsecond))
		}
	}
	e.decoding = kept
}

// prefilled goes on with the next prompt, and lets a whole one decode.
func (e *roleEngine) prefilled(j *roleJob) {
	if j == nil {
		return
	}
	e.prompts = e.prompts[1:]
	if j.left > 0 {
		e.prompts = append(e.prompts, j)
		return
	}
	j.last = e.m.now
	if j.prompt == roleShort {
		_ = e.m.first.RecordValue(int64(e.m.now.Sub(j.arrived) / time.Microsecond))
	}
	if !e.passOn {
		e.decoding = append(e.decoding, j)
		return
	}
	moving := kvSetup + time.Duration(float64(j.prompt)*roleTokenBytes*8/(roleLinkGbit*1e9)*float64(time.Second))
	e.m.after(moving, func() { leastLoaded(e.m.decode).offer(j) })
}

// judgeRoles compares undivided runners with the division that has the lowest
// p95 of short prompts in total.
func (t *table) judgeRoles(seed uint64, s size) {
	p95 := func(h *hdrhistogram.Histogram) time.Duration { return quantile(h, 95) }
	e := experiment{name: "roles"}
	whole := runRoles(seed, s.maxGrants, 0)
	best, prefill := (*roleModel)(nil), 0
	for n := 1; n < s.maxGrants; n++ {
		if m := runRoles(seed, s.maxGrants, n); best == nil || p95(m.total) < p95(best.total) {
			best, prefill = m, n
		}
	}
	row := func(what string, whole, best time.Duration) {
		t.target(s, e, fmt.Sprintf("p95 %s: %d of %d prefill (%v) / undivided (%v)", what, prefill, s.maxGrants, best.Round(time.Millisecond), whole.Round(time.Millisecond)), ratio(best, whole), 1, true)
	}
	row("first token of short prompts", p95(whole.first), p95(best.first))
	row("between tokens", p95(whole.between), p95(best.between))
	row("total of short prompts", p95(whole.total), p95(best.total))
	t.target(s, e, "unfinished requests, both", float64(whole.offered-whole.finished+best.offered-best.finished), 0, true)
}
