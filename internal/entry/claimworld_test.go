package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// claimsWorld is a few entries that own claim shards, and one agent.
type claimsWorld struct {
	t       *testing.T
	log     *standin.Log
	network *fakeNetwork
	entries []*claimsEntry
	// adjust changes the owners of an entry that starts; nil changes nothing.
	adjust func(*claimShards)

	mu sync.Mutex
	// cuts are the connections that fail, by their ends; "log" is an end, and
	// "long polls" stands for the reads of the log that wait.
	cuts map[[2]string]bool
	// logAhead is how far the log's clock is ahead of the entries'.
	logAhead time.Duration
	// endReads counts the reads of claim streams that do not wait.
	endReads int
	agent    *claims.AgentTable
	life     int
	ran      map[string]int
	lives    map[string]int
}

// claimsEntry is a run of an entry.
type claimsEntry struct {
	world  *claimsWorld
	name   state.EntryName
	router *claimRouter
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

func newClaimsWorld(t *testing.T, entries int) *claimsWorld { return newAdjustedWorld(t, entries, nil) }

func newAdjustedWorld(t *testing.T, entries int, adjust func(*claimShards)) *claimsWorld {
	w := &claimsWorld{
		t: t, adjust: adjust, log: standin.NewLog(standin.LogConfig{}), network: newFakeNetwork(),
		ran: make(map[string]int), lives: make(map[string]int), cuts: make(map[[2]string]bool),
	}
	w.restartAgent()
	w.network.serve("agent", map[string]rpc.MethodFunc{
		rpc.MethodClaimStatus: rpc.Method(func(_ context.Context, p rpc.ClaimStatusParams) (rpc.ClaimStatusResult, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.agent.Status(p, time.Now()), nil
		}),
	})
	for i := range entries {
		w.entries = append(w.entries, &claimsEntry{world: w, name: state.EntryName(fmt.Sprintf("entry-%d", i))})
	}
	for _, e := range w.entries {
		e.start(w.names()...)
	}
	return w
}

// stop ends all entries, without which virtual time would never stand still.
func (w *claimsWorld) stop() {
	for _, e := range w.entries {
		e.kill()
	}
}

func (w *claimsWorld) names() []state.EntryName {
	names := make([]state.EntryName, 0, len(w.entries))
	for _, e := range w.entries {
		names = append(names, e.name)
	}
	return names
}

func (w *claimsWorld) restartAgent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.agent = claims.NewAgentTable(fmt.Sprint(w.life), claims.DefaultSettings())
}

func (w *claimsWorld) replica() rpc.ReplicaAt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rpc.ReplicaAt{Replica: state.Replica{Upstream: "u"}, Agent: state.FencingToken(w.life), AgentIncarnation: fmt.Sprint(w.life)}
}

// cut makes the connection between two ends fail, or heals it.
func (w *claimsWorld) cut(a, b string, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = fails, fails
}

func (w *claimsWorld) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cuts)
}

func (w *claimsWorld) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}]
}

// endpoint is an entry's access to the others and to the log.
type endpoint struct {
	world *claimsWorld
	name  string
}

// Call implements rpc.Caller.
func (p endpoint) Call(ctx context.Context, addr, method string, params, result any) error {
	if p.world.isCut(p.name, addr) {
		return errors.Wrap(rpc.ErrUnreachable, addr)
	}
	err := p.world.network.Call(ctx, addr, method, params, result)
	if p.world.isCut(p.name, addr) {
		return errors.Wrap(rpc.ErrConnectionLost, addr)
	}
	return err
}

// Append implements platform.Log.
func (p endpoint) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	if p.world.isCut(p.name, "log") {
		return state.NoOffset, errors.Wrap(platform.ErrUnavailable, "cut off")
	}
	offset, err := p.world.log.Append(ctx, stream, records)
	if p.world.isCut(p.name, "log") {
		return state.NoOffset, errors.Wrap(platform.ErrUnknownOutcome, "cut off")
	}
	return offset, err
}

// Read implements platform.Log.
func (p endpoint) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if p.world.isCut(p.name, "log") {
		return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "cut off")
	}
	if wait == 0 {
		p.world.mu.Lock()
		p.world.endReads++
		p.world.mu.Unlock()
	}
	page, err := p.world.log.Read(ctx, stream, from, limit, wait)
	page.Records = slices.Clone(page.Records)
	for i := range page.Records {
		page.Records[i].Time = page.Records[i].Time.Add(p.world.logAhead)
	}
	if p.world.isCut(p.name, "log") || wait > 0 && p.world.isCut(p.name, "long polls") {
		return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "cut off")
	}
	return page, err
}

// pause keeps the entry's claim owners from doing anything for d.
func (e *claimsEntry) pause(d time.Duration) {
	e.router.local.post(e.world.t.Context(), func(ctx context.Context, _ time.Time) { ctxtime.Sleep(ctx, d) })
}

// start begins a run of the entry that takes ring for the live entries.
func (e *claimsEntry) start(ring ...state.EntryName) {
	ctx, stop := context.WithCancel(e.world.t.Context())
	e.stop = stop
	addresses := make(map[state.EntryName]string)
	for _, name := range e.world.names() {
		addresses[name] = string(name)
	}
	published := &view{ring: membership.NewRing(ring), addresses: addresses}
	access := endpoint{e.world, string(e.name)}
	writer := logclient.NewWriter(access, logclient.WriterConfig{AppendsPerSecond: 1000, AppendBurst: 100, MaxRetryDelay: appendRetry})
	self := state.ProcessID{Name: string(e.name), Incarnation: uuid.NewString()}
	agentAt := func(state.UpstreamName) (string, bool) { return "agent", true }
	shards := newClaimShards(self, access, writer, access, agentAt, slog.New(slog.DiscardHandler))
	if e.world.adjust != nil {
		e.world.adjust(shards)
	}
	e.router = &claimRouter{
		process: self, name: e.name, region: "north", local: shards, caller: access, running: ctx,
		view: func() *view { return published },
	}
	e.ended.Go(func() { _ = writer.Run(ctx) })
	e.ended.Go(func() { _ = shards.run(ctx) })
	e.world.network.serve(string(e.name), map[string]rpc.MethodFunc{
		rpc.MethodClaim: rpc.Method(shards.ask), rpc.MethodClaimLookup: rpc.Method(shards.lookup),
		rpc.MethodClaimDone: rpc.Method(shards.outcome),
	})
}

func (e *claimsEntry) kill() {
	e.world.network.serve(string(e.name), nil)
	e.stop()
	e.ended.Wait()
}

// step is how far an entry gets with a request before it dies.
type step int

const (
	diesClaimed step = iota
	diesDispatched
	diesRun
	completes
)

// send takes a request as far as last. The verdict is the one that the caller
// gets; it is nil if the entry died first.
func (w *claimsWorld) send(router *claimRouter, key string, last step) (*verdict.Verdict, string) {
	return w.sendAs(router, key, 7, last)
}

func (w *claimsWorld) sendAs(router *claimRouter, key string, fingerprint uint64, last step) (*verdict.Verdict, string) {
	recorder := httptest.NewRecorder()
	x := &execution{
		gateway:  &gateway{claims: router},
		request:  &request{key: key, fingerprint: fingerprint, deadline: time.Now().Add(30 * time.Second), caller: state.Caller{Name: "c"}},
		exchange: &exchange{answer: &answerWriter{ResponseWriter: recorder}},
	}
	if v := x.openClaim(w.t.Context(), w.replica()); v != nil {
		return x.aboutWork(v), recorder.Body.String()
	}
	if last == diesClaimed {
		return nil, ""
	}
	v, text := w.run(x.claim, key, last)
	if last != completes {
		return nil, ""
	}
	x.kept.add([]byte(text))
	x.closeClaim(v, &http.Response{StatusCode: http.StatusOK})
	return v, text
}

// run is the agent's part.
func (w *claimsWorld) run(claim, key string, last step) (*verdict.Verdict, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.agent.Start(claim, fmt.Sprint(w.life), time.Now()); refusal != nil {
		return refusal, ""
	}
	w.ran[key]++
	w.lives[key] = w.life
	text := "answer to " + key
	if last > diesDispatched {
		done := state.ClaimDone{Claim: claim, Status: http.StatusOK, Answer: []byte(text), AnswerKept: true}
		w.agent.End(claim, rpc.ClaimRan, &done, time.Now())
	}
	return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}, text
}

func keyAt(at time.Time, n int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// keyOfShard returns a key of now that belongs to the shard, the first whose
// number is from or more.
func keyOfShard(shard int, caller state.CallerName, from int) string {
	for n := from; ; n++ {
		if key := keyAt(time.Now(), n); claims.ShardOf(caller, key) == shard {
			return key
		}
	}
}
