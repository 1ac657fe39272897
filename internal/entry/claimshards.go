package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// claimTick is the time between ticks of the claim owners.
	claimTick = 10 * time.Millisecond
	// shardIdle is how long an unused shard is kept.
	shardIdle = 10 * time.Minute
	// questionTimeout bounds a question to an agent about a claim.
	questionTimeout = time.Second
	// claimGiveUp is when an owner refuses a claim that the log has not
	// confirmed. The refusal must reach the entry within claimWait, or the
	// entry can't say that the work was not run.
	claimGiveUp = claimWait - 300*time.Millisecond
	// claimRetry bounds the delay between failed reads of a shard's stream,
	// and between failed appends to it. It is shorter than claimGiveUp, or
	// requests would be refused for up to 3 s after the end of an outage of
	// the log. At most 16 owners append so often.
	claimRetry = 500 * time.Millisecond
	// claimAppendBytes bounds the bodies of an append, well below what the
	// appender takes in one call. Outcomes with kept answers can exceed it
	// within one batch of the owner.
	claimAppendBytes = 256 << 10
)

// claimShards runs the owners of claim shards. Any entry can own any shard:
// log order decides between owners. One goroutine owns the table.
type claimShards struct {
	self     state.ProcessID
	log      platform.Log
	appender logclient.Appender
	caller   rpc.Caller
	// agentAddress finds the control address of an upstream's agent.
	agentAddress func(state.UpstreamName) (string, bool)
	logger       *slog.Logger
	// meter counts the answers; nil counts none.
	meter   Meter
	events  chan shardEvent
	shards  map[int]*claimShard
	tickets map[claims.Ticket]claimTicket
	// lookups are where the answers to lookups go. Each holds one.
	lookups    map[claims.Ticket]chan<- bool
	lastTicket claims.Ticket
	// settings are those of the owners.
	settings claims.Settings
	// readBackRecords is claimReadBack, but for tests.
	readBackRecords state.Offset
}

type claimShard struct {
	number   int
	owner    *claims.Owner
	began    bool
	stop     context.CancelFunc
	lastUsed time.Time
	// appending counts the appends under way.
	appending int
}

// claimTicket is a request for a claim. asked ends when nobody waits for the
// reply any more.
type claimTicket struct {
	params rpc.ClaimParams
	reply  chan rpc.ClaimResult
	asked  context.Context
}

// shardEvent is something that the owners have to hear of.
type shardEvent func(ctx context.Context, now time.Time)

func newClaimShards(self state.ProcessID, log platform.Log, appender logclient.Appender, caller rpc.Caller,
	agentAddress func(state.UpstreamName) (string, bool), logger *slog.Logger,
) *claimShards {
	settings := claims.DefaultSettings()
	settings.ClaimTimeout = claimGiveUp
	return &claimShards{
		self:         self,
		log:          log,
		appender:     appender,
		caller:       caller,
		agentAddress: agentAddress,
		logger:       logger,
		events:       make(chan shardEvent, eventBuffer),
		shards:       make(map[int]*claimShard),
		tickets:      make(map[claims.Ticket]claimTicket),
		lookups:      make(map[claims.Ticket]chan<- bool),

		settings:        settings,
		readBackRecords: claimReadBack,
	}
}

// run applies events and ticks until ctx ends.
func (s *claimShards) run(ctx context.Context) error {
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			e(ctx, time.Now())
		case now := <-ticker.C:
			s.tick(ctx, now)
		}
	}
}

func (s *claimShards) tick(ctx context.Context, now time.Time) {
	for number, shard := range s.shards {
		s.carryOut(ctx, shard, shard.owner.Tick(now))
		// A shard with unsent records is kept: outcomes that wait out a log
		// outage would be lost with it.
		if now.Sub(shard.lastUsed) > shardIdle && shard.appending == 0 && shard.owner.Idle() {
			shard.stop()
			delete(s.shards, number)
		}
	}
}

func (s *claimShards) post(ctx context.Context, e shardEvent) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask answers a request for a claim.
func (s *claimShards) ask(ctx context.Context, params rpc.ClaimParams) (rpc.ClaimResult, error) {
	// The reply is not buffered: a grant that nobody takes is given up.
	reply := make(chan rpc.ClaimResult)
	s.post(ctx, func(running context.Context, now time.Time) {
		shard := s.shard(running, claims.ShardOf(params.Claim.Caller, params.Claim.Key), now)
		s.lastTicket++
		s.tickets[s.lastTicket] = claimTicket{params: params, reply: reply, asked: ctx}
		s.carryOut(running, shard, shard.owner.RequestClaim(s.lastTicket, params, now))
	})
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return rpc.ClaimResult{}, verdict.Unknown(verdict.ReasonClaimUnknown, "the claim was not settled in time")
	}
}

// lookup tells whether a key was ever claimed.
func (s *claimShards) lookup(ctx context.Context, params rpc.ClaimLookupParams) (rpc.ClaimLookupResult, error) {
	reply := make(chan bool, 1)
	s.post(ctx, func(running context.Context, now time.Time) {
		shard := s.shard(running, claims.ShardOf(params.Caller, params.Key), now)
		s.lastTicket++
		s.lookups[s.lastTicket] = reply
		s.carryOut(running, shard, shard.owner.Lookup(s.lastTicket, params.Caller, params.Key, now))
	})
	select {
	case unseen := <-reply:
		return rpc.ClaimLookupResult{Unseen: unseen}, nil
	case <-ctx.Done():
		return rpc.ClaimLookupResult{}, ctx.Err()
	}
}

// outcome notes how a claim ended.
func (s *claimShards) outcome(ctx context.Context, p rpc.ClaimOutcomeReport) (struct{}, error) {
	s.post(ctx, func(running context.Context, now time.Time) {
		shard := s.shard(running, claims.ShardOf(p.Caller, p.Key), now)
		s.carryOut(running, shard, shard.owner.RecordOutcome(p.ClaimOutcomeParams, p.From, now))
	})
	return struct{}{}, nil
}

// flush sends the records that the owners hold back, at a planned stop, and
// waits until the log has them or ctx ends.
func (s *claimShards) flush(ctx context.Context) {
	for {
		sent := make(chan bool, 1)
		s.post(ctx, func(running context.Context, now time.Time) {
			all := true
			for _, shard := range s.shards {
				s.carryOut(running, shard, shard.owner.Flush(now))
				all = all && shard.appending == 0 && !shard.owner.Unsent()
			}
			sent <- all
		})
		select {
		case all := <-sent:
			if all || !ctxtime.Sleep(ctx, claimTick) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// waiting counts the requests that wait at this entry's shards.
func (s *claimShards) waiting(ctx context.Context) map[int]int {
	reply := make(chan map[int]int, 1)
	s.post(ctx, func(context.Context, time.Time) {
		counts := make(map[int]int, len(s.shards))
		for number := range s.shards {
			counts[number] = s.shards[number].owner.Waiting()
		}
		reply <- counts
	})
	select {
	case counts := <-reply:
		return counts
	case <-ctx.Done():
		return nil
	}
}

func (s *claimShards) shard(ctx context.Context, number int, now time.Time) *claimShard {
	shard, ok := s.shards[number]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		tailing, stop := context.WithCancel(ctx)
		shard = &claimShard{
			number: number,
			owner:  claims.NewOwner(s.self, s.settings, random),
			stop:   stop,
		}
		s.shards[number] = shard
		go s.follow(tailing, shard)
	}
	shard.lastUsed = now
	return shard
}

// carryOut runs what an owner asks for.
func (s *claimShards) carryOut(ctx context.Context, shard *claimShard, commands claims.Commands) {
	for _, reply := range commands.Replies {
		if ticket, ok := s.tickets[reply.Ticket]; ok {
			delete(s.tickets, reply.Ticket)
			if s.meter != nil {
				s.meter.Claim(resultOf(reply.Result))
			}
			if reply.ReadBack {
				go s.readBack(ctx, shard.number, ticket, reply)
				continue
			}
			s.reply(ctx, shard, ticket, reply.Result)
		}
	}
	for _, found := range commands.Found {
		if reply, ok := s.lookups[found.Ticket]; ok {
			delete(s.lookups, found.Ticket)
			reply <- found.Unseen
		}
	}
	if commands.EndRead != nil {
		go s.readEnd(ctx, shard, commands.EndRead.From)
	}
	for _, batch := range appendBatches(commands.Append) {
		shard.appending++
		go s.append(ctx, shard, batch)
	}
	for _, question := range commands.Questions {
		go s.question(ctx, shard, question)
	}
}

// resultOf tells a new claim, an answer about an earlier one and any other
// refusal apart.
func resultOf(result rpc.ClaimResult) telemetry.ClaimResult {
	switch {
	case result.Granted != "":
		return telemetry.ClaimGranted
	case result.Done != nil:
		return telemetry.ClaimRepeated
	case result.Refusal == nil:
		return telemetry.ClaimRefused
	}
	switch result.Refusal.Reason {
	case verdict.ReasonClaimInProgress, verdict.ReasonClaimRan, verdict.ReasonClaimUnknown:
		return telemetry.ClaimRepeated
	default:
		return telemetry.ClaimRefused
	}
}

// reply hands a result to the request that asked for it. A grant whose
// requester has left is given up, so that a resend need not ask the agent.
func (s *claimShards) reply(ctx context.Context, shard *claimShard, ticket claimTicket, result rpc.ClaimResult) {
	select {
	case ticket.reply <- result:
		return
	case <-ticket.asked.Done():
	}
	if result.Granted == "" {
		return
	}
	given := rpc.ClaimOutcomeParams{
		Caller: ticket.params.Claim.Caller, Key: ticket.params.Claim.Key,
		Void: &state.ClaimVoid{Claim: result.Granted, Witness: s.self},
	}
	s.carryOut(ctx, shard, shard.owner.RecordOutcome(given, s.self, time.Now()))
}

// appendRetry bounds the delay between failed appends to a stream. Zero is the
// writer's default, which is longer: all entries write to their regions' streams.
func appendRetry(stream platform.Stream) time.Duration {
	if platform.IsClaimStream(stream) {
		return claimRetry
	}
	return 0
}

// appendBatches splits records so that no append exceeds claimAppendBytes.
func appendBatches(records []state.Record) [][]state.Record {
	var batches [][]state.Record
	start, size := 0, 0
	for i, record := range records {
		if size+len(record.Body) > claimAppendBytes && i > start {
			batches = append(batches, records[start:i])
			start, size = i, 0
		}
		size += len(record.Body)
	}
	if start < len(records) {
		batches = append(batches, records[start:])
	}
	return batches
}

func (s *claimShards) append(ctx context.Context, shard *claimShard, batch []state.Record) {
	limited, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	_, err := s.appender.Append(limited, platform.ClaimStream(shard.number), batch...)
	result := claims.AppendStored
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		result = claims.AppendRefused
	case err != nil:
		result = claims.AppendUnknown
	}
	s.post(ctx, func(running context.Context, now time.Time) {
		shard.appending--
		s.carryOut(running, shard, shard.owner.Appended(batch, result, now))
	})
}

func (s *claimShards) question(ctx context.Context, shard *claimShard, question claims.Question) {
	limited, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var answer *rpc.ClaimStatusResult
	if address, ok := s.agentAddress(question.Upstream); ok {
		answer = &rpc.ClaimStatusResult{}
		if err := s.caller.Call(limited, address, rpc.MethodClaimStatus, question.Params, answer); err != nil {
			answer = nil
		}
	}
	s.post(ctx, func(running context.Context, now time.Time) {
		s.carryOut(running, shard, shard.owner.AgentAnswered(question.Params.Claim, answer, now))
	})
}
