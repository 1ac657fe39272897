package claims_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

// batching holds the parameters for batching the claims of all regions.
type batching struct {
	shards                             int
	batchDelay, interval, outcomeDelay time.Duration
	burst                              int
}

func (b batching) String() string {
	return fmt.Sprintf("shards=%d/batch=%s/interval=%s/burst=%d/outcomes=%s", b.shards, b.batchDelay, b.interval, b.burst, b.outcomeDelay)
}

// previousBatching holds the parameters before those of DefaultSettings.
var previousBatching = batching{64, 50 * time.Millisecond, 0, 50 * time.Millisecond, 0}

// currentBatching returns the parameters of DefaultSettings.
func currentBatching() batching {
	s := claims.DefaultSettings()
	return batching{claims.ShardCount, s.BatchDelay, s.MinInterval, s.OutcomeDelay, s.Burst}
}

// load is the cost of a simulated load.
type load struct {
	appends, bytes float64 // per second
	// addedLatency lists, in ascending order, the time from each request to its
	// grant minus appendTime.
	addedLatency []time.Duration
}

func (l load) quantile(q float64) time.Duration {
	return l.addedLatency[int(q*float64(len(l.addedLatency)-1))]
}

const (
	// appendTime is the simulated time until an append is stored and read back.
	appendTime = 10 * time.Millisecond
	// ownerTick is the time between ticks of the entries' owners.
	ownerTick = 10 * time.Millisecond
)

// pendingAppend is a batch that is being appended.
type pendingAppend struct {
	due   time.Time
	owner int
	batch []state.Record
}

// simulate sends requests for claims at the given rate per second, each with an
// outcome after a mean of 400 ms, to real owners for the duration in virtual time.
func simulate(b batching, rate float64, duration time.Duration) load {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(3, 5))
	settings := claims.DefaultSettings()
	settings.BatchDelay, settings.MinInterval, settings.OutcomeDelay = b.batchDelay, b.interval, b.outcomeDelay
	settings.Burst = b.burst
	owners := make([]*claims.Owner, b.shards)
	offsets := make([]state.Offset, b.shards)
	for i := range owners {
		owners[i] = claims.NewOwner(state.ProcessID{Name: "o"}, settings, random)
		owners[i].BeginReading(time.Time{})
		owners[i].CaughtUp(epoch)
	}
	type finish struct {
		owner int
		p     rpc.ClaimOutcomeParams
	}
	finishes := map[int64][]finish{}
	asked := map[claims.Ticket]time.Time{}
	var inFlight []pendingAppend
	var out load
	var appends, bytes int
	now, ticket := epoch, claims.Ticket(0)
	do := func(i int, c claims.Commands) {
		for _, r := range c.Replies {
			out.addedLatency = append(out.addedLatency, now.Sub(asked[r.Ticket])-appendTime)
			at := now.Add(time.Duration(random.ExpFloat64() * float64(400*time.Millisecond)))
			done := &state.ClaimDone{Claim: r.Result.Granted, Status: 200}
			finishes[at.UnixMilli()] = append(finishes[at.UnixMilli()], finish{i, rpc.ClaimOutcomeParams{Done: done}})
			delete(asked, r.Ticket)
		}
		if len(c.Append) > 0 {
			appends++
			for _, r := range c.Append {
				bytes += len(r.Body) + 150
			}
			inFlight = append(inFlight, pendingAppend{now.Add(appendTime), i, c.Append})
		}
	}
	next := now
	for end := epoch.Add(duration); now.Before(end); now = now.Add(step) {
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			var id uuid.UUID
			_ = id.UnmarshalText([]byte(key(now, 0)))
			id[14], id[15], id[13] = byte(ticket>>8), byte(ticket), byte(ticket>>16)
			i := random.IntN(b.shards)
			ticket++
			asked[ticket] = now
			do(i, owners[i].RequestClaim(ticket, rpc.ClaimParams{Claim: state.Claim{
				Caller: "caller", Key: id.String(), Fingerprint: uint64(ticket), Upstream: "upstream-0001",
				Entry: state.ProcessID{Name: "entry-1", Incarnation: id.String()}, AgentIncarnation: id.String(),
			}}, now))
		}
		for _, f := range finishes[now.UnixMilli()] {
			do(f.owner, owners[f.owner].RecordOutcome(f.p, state.ProcessID{}, now))
		}
		delete(finishes, now.UnixMilli())
		for len(inFlight) > 0 && !inFlight[0].due.After(now) {
			p := inFlight[0]
			inFlight = inFlight[1:]
			do(p.owner, owners[p.owner].Appended(p.batch, claims.AppendStored, now))
			for _, r := range p.batch {
				do(p.owner, owners[p.owner].Apply(state.StoredRecord{Offset: offsets[p.owner], Time: now, Record: r}, now))
				offsets[p.owner]++
			}
		}
		if now.Sub(epoch)%ownerTick == 0 {
			for i, o := range owners {
				do(i, o.Tick(now))
			}
		}
	}
	slices.Sort(out.addedLatency)
	out.appends = float64(appends) / duration.Seconds()
	out.bytes = float64(bytes) / duration.Seconds()
	return out
}

// Guards against batching that lets claims use up the log's append rate at the
// size expected in two years, and against slower claims or more appends than with
// previousBatching at the rates of today's sizes.
func TestAppendRateOfClaims(t *testing.T) {
	g := NewWithT(t)
	busy := simulate(currentBatching(), 550, 20*time.Second)
	g.Expect(busy.appends).To(BeNumerically("<", 150))
	g.Expect(busy.quantile(0.99)).To(BeNumerically("<=", 250*time.Millisecond))
	flood := simulate(currentBatching(), 2200, 5*time.Second)
	g.Expect(flood.appends).To(BeNumerically("<", 150))
	for _, rate := range []float64{2, 5} {
		was, is := simulate(previousBatching, rate, 200*time.Second), simulate(currentBatching(), rate, 200*time.Second)
		for _, q := range []float64{0.5, 0.99} {
			g.Expect(is.quantile(q)).To(BeNumerically("<=", was.quantile(q)), "%v claims/s, quantile %v", rate, q)
		}
		g.Expect(is.appends).To(BeNumerically("<=", was.appends))
	}
}

// BenchmarkBatching compares batching parameters. Its figures are of virtual time.
func BenchmarkBatching(b *testing.B) {
	const ms = time.Millisecond
	for _, v := range []batching{
		previousBatching, {64, 200 * ms, 0, 200 * ms, 0}, {64, 500 * ms, 0, 500 * ms, 0},
		{16, 50 * ms, 0, 50 * ms, 0}, {16, 100 * ms, 0, 100 * ms, 0}, {8, 50 * ms, 0, 50 * ms, 0},
		{64, 50 * ms, 480 * ms, 50 * ms, 0}, {64, 20 * ms, 480 * ms, 200 * ms, 4}, {32, 20 * ms, 240 * ms, 200 * ms, 4},
		{16, 50 * ms, 120 * ms, 50 * ms, 0}, {16, 20 * ms, 120 * ms, 20 * ms, 4}, {16, 20 * ms, 120 * ms, 500 * ms, 4}, currentBatching(),
		{8, 20 * ms, 60 * ms, 200 * ms, 4},
	} {
		for _, rate := range []float64{5, 50, 550} {
			b.Run(fmt.Sprintf("%s/rate=%v", v, rate), func(b *testing.B) {
				var l load
				for b.Loop() {
					l = simulate(v, rate, time.Duration(40*550/max(rate, 55))*time.Second)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(l.appends, "appends/s")
				b.ReportMetric(l.bytes, "B/s")
				b.ReportMetric(float64(l.quantile(0.5).Milliseconds()), "p50-ms")
				b.ReportMetric(float64(l.quantile(0.99).Milliseconds()), "p99-ms")
			})
		}
	}
}

// ownerWithClaims returns an owner that has read count claims, all with an outcome
// and an answer of the given size, except that every openEach-th claim is open. If
// openEach is zero, no claim is.
func ownerWithClaims(tb testing.TB, settings claims.Settings, count, openEach int, answer state.Bytes) *claims.Owner {
	o := claims.NewOwner(state.ProcessID{Name: "o"}, settings, rand.New(rand.NewPCG(1, 1)))
	o.BeginReading(time.Time{})
	offset := state.Offset(0)
	at := epoch
	apply := func(p state.StoredRecord) {
		offset++
		o.Apply(p, at)
	}
	for n := range count {
		at = at.Add(29 * time.Millisecond) // 34 claims a second.
		id := uuid.NewSHA1(uuid.Nil, fmt.Append(nil, n)).String()
		process := uuid.NewSHA1(uuid.Nil, fmt.Append(nil, n%350)).String()
		agent := uuid.NewSHA1(uuid.Nil, fmt.Append(nil, "agent", n%1500)).String()
		apply(positioned(tb, offset, at, id, state.KindClaim, state.Claim{
			Caller: state.CallerName(fmt.Sprint("caller-", n%40)), Key: key(at, byte(n)), Fingerprint: uint64(n),
			Entry:    state.ProcessID{Name: fmt.Sprint("entry-", n%350), Incarnation: process},
			Upstream: state.UpstreamName(fmt.Sprint("upstream-", n%1500)), AgentIncarnation: agent,
		}))
		if openEach > 0 && n%openEach == 0 {
			continue
		}
		apply(positioned(tb, offset, at, uuid.NewString(), state.KindClaimDone, state.ClaimDone{
			Claim: id, Status: 200, ContentType: "application/json", Answer: make([]byte, answer), AnswerKept: answer > 0,
		}))
	}
	return o
}

// positioned returns a record of the log at an offset and time.
func positioned[B state.Body](tb testing.TB, offset state.Offset, at time.Time, id string, kind state.Kind, body B) state.StoredRecord {
	r, err := state.NewRecord(id, state.ProcessID{Name: "o"}, kind, body)
	if err != nil {
		tb.Fatal(err)
	}
	return state.StoredRecord{Offset: offset, Time: at, Record: r}
}

// BenchmarkOwnerMemory measures the heap that an owner uses for the claims that it
// has read.
func BenchmarkOwnerMemory(b *testing.B) {
	for _, c := range []struct {
		name   string
		count  int
		open   int
		answer state.Bytes
	}{
		{"done", 50_000, 0, 0}, {"done", 95_000, 0, 0}, {"open", 95_000, 1, 0},
		{"done", 1_000_000, 0, 0},
		{"answers=4KiB", 50_000, 0, 4096}, {"answers=4KiB", 95_000, 0, 4096}, {"answers=4KiB", 300_000, 0, 4096},
	} {
		b.Run(fmt.Sprintf("%s/claims=%d", c.name, c.count), func(b *testing.B) {
			for b.Loop() {
				was := testenv.LiveHeapBytes()
				o := ownerWithClaims(b, claims.DefaultSettings(), c.count, c.open, c.answer)
				used := testenv.LiveHeapBytes() - was
				runtime.KeepAlive(o)
				b.ReportMetric(float64(used)/float64(c.count), "B/claim")
				b.ReportMetric(float64(used)/(1<<20), "MiB")
			}
		})
	}
}

// BenchmarkTakeover measures the time in which a new owner applies a claim and its
// outcome.
func BenchmarkTakeover(b *testing.B) {
	process := state.ProcessID{Name: "entry-1", Incarnation: uuid.NewString()}
	o := claims.NewOwner(process, claims.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	o.BeginReading(time.Time{})
	claim := positioned(b, 0, epoch, "", state.KindClaim, state.Claim{
		Caller: "caller", Key: key(epoch, 1), Entry: process, Upstream: "upstream-1", AgentIncarnation: process.Incarnation,
	})
	at, offset := epoch, state.Offset(0)
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(29 * time.Millisecond)
		id := uuid.NewString()
		body := []byte(strings.Replace(string(claim.Body), key(epoch, 1), key(at, 1), 1))
		done := []byte(`{"claim":"` + id + `","status":200,"answer_kept":false}`)
		for _, r := range []state.Record{{ID: id, Writer: process, Kind: state.KindClaim, Body: body}, {Kind: state.KindClaimDone, Body: done}} {
			o.Apply(state.StoredRecord{Offset: offset, Time: at, Record: r}, at)
			offset++
		}
	}
}
