package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxIdle is how long the bucket of a removed team is kept. It is full again by then.
const maxIdle = time.Minute

// Ledger is the controller's record of what it has granted in a term.
type Ledger struct {
	config Config
	term   state.FencingToken
	began  time.Time
	// first says that there was no controller before.
	first bool
	// unknownParts are the parts of gateways that have not been heard from, until
	// partLifetime after began.
	unknownParts float64
	gateways     map[string]*gatewayState
	// list has the values of gateways.
	list  []*gatewayState
	teams map[state.TeamName]*fleet.Team
	// appeared has the teams that came with a later manifest than the first one.
	appeared map[state.TeamName]struct{}
	buckets  map[state.TeamName]*bucket
	// refillFrom is when the buckets begin to be refilled. Until then, gateways may spend
	// the brief grants of an earlier controller.
	refillFrom time.Time
	// refilled is the time in seconds for which the buckets have been refilled, less
	// what is reserved for the parts of gateways, as of refilledAt. Reserved is the
	// fraction of the rate that was reserved then.
	refilled   float64
	refilledAt time.Time
	reserved   float64
}

// gatewayState is what a Ledger knows of a gateway.
type gatewayState struct {
	name, address string
	// seq is the last ask, and answeredAt when it was answered.
	seq        uint64
	answeredAt time.Time
	// ackedAt is when the last ask was answered whose answer the gateway has received;
	// zero if none was.
	ackedAt time.Time
	// part is the largest part that the gateway may have.
	part float64
	// sent are the grants of the last answer, and delayed those of earlier ones that have
	// arrived with a delay which has not passed.
	sent, delayed []sentGrant
}

// Term returns the term of the controller.
func (l *Ledger) Term() state.FencingToken { return l.term }

// sentGrant is a grant for a request.
type sentGrant struct {
	bucket    *bucket
	tokens    float64
	delay     time.Duration
	grantedAt time.Time
	// until is when the request has gone on, once the answer has arrived.
	until time.Time
}

// NewLedger returns the ledger of a controller that begins to act. First says that there
// was none before, so that no gateway has a part or tokens.
func NewLedger(c Config, term state.FencingToken, first bool, now time.Time) *Ledger {
	l := &Ledger{
		config: c, term: term, began: now, first: first, refillFrom: now, refilledAt: now,
		gateways: make(map[string]*gatewayState), appeared: make(map[state.TeamName]struct{}), buckets: make(map[state.TeamName]*bucket),
	}
	if !first {
		l.unknownParts = 1
		l.refillFrom = now.Add(briefHold)
	}
	l.reserved = l.reservedShare(now)
	return l
}

// SetTeams applies the teams of a manifest. The caller must not change the map.
func (l *Ledger) SetTeams(teams map[state.TeamName]*fleet.Team, now time.Time) {
	if l.teams != nil {
		for name := range teams {
			if l.teams[name] == nil {
				l.appeared[name] = struct{}{}
			}
		}
		for name, b := range l.buckets {
			if teams[name] == nil && now.Sub(b.usedAt) > maxIdle {
				delete(l.buckets, name)
			}
		}
	}
	for name := range l.appeared {
		if teams[name] == nil {
			delete(l.appeared, name)
		}
	}
	if teams == nil {
		teams = make(map[state.TeamName]*fleet.Team)
	}
	l.teams = teams
}

// Handle answers an ask.
func (l *Ledger) Handle(ask Ask, now time.Time) Answer {
	answer := Answer{Term: l.term, Time: now.UnixMilli()}
	g := l.gateways[ask.Gateway]
	if ask.Term != l.term || g != nil && ask.Seq <= g.seq || !(ask.Part >= 0 && ask.Part <= 1) {
		answer.Refused = true
		return answer
	}
	l.advance(now)
	if ask.Leaving {
		l.returnAll(ask, g, now)
		l.removeLeaving(ask, g)
		l.reserved = l.reservedShare(now)
		return answer
	}
	known := g
	if g == nil {
		g = l.addGateway(ask)
	}
	if ask.Acked != 0 && ask.Acked == g.seq {
		g.acknowledge(now)
	}
	g.sent = g.sent[:0]
	g.spendDelayed(now)
	l.returnAll(ask, known, now)
	answer.Part = l.assignPart(ask, g, now)
	g.seq, g.answeredAt = ask.Seq, now
	l.reserved = l.reservedShare(now)
	for i := range ask.Teams {
		answer.Teams = append(answer.Teams, l.grant(g, &ask.Teams[i], answer.Part, now))
	}
	return answer
}

// acknowledge records that the last answer has arrived: requests with grants that were valid
// on arrival have gone on, and the others go on after their delay.
func (g *gatewayState) acknowledge(now time.Time) {
	g.ackedAt = g.answeredAt
	for _, s := range g.sent {
		if s.delay == 0 {
			s.bucket.spend(s.tokens, s.grantedAt, now)
			continue
		}
		s.until = now.Add(s.delay + wakeMargin)
		g.delayed = append(g.delayed, s)
	}
}

// spendDelayed records the delayed grants whose requests have gone on by now.
func (g *gatewayState) spendDelayed(now time.Time) {
	g.delayed = slices.DeleteFunc(g.delayed, func(s sentGrant) bool {
		if s.until.After(now) {
			return false
		}
		s.bucket.spend(s.tokens, s.grantedAt, now)
		return true
	})
}

// advance computes the refill up to now. A gateway that has stopped asking meanwhile
// counts as stopped from the start, and one that has asked counts from then on.
func (l *Ledger) advance(now time.Time) {
	if !now.After(l.refilledAt) {
		return
	}
	reserved := max(l.reserved, l.reservedShare(now))
	if from := latest(l.refilledAt, l.refillFrom); now.After(from) {
		l.refilled += now.Sub(from).Seconds() * (1 - partsShare*reserved)
	}
	l.refilledAt, l.reserved = now, reserved
	for _, g := range l.list {
		if now.Sub(g.answeredAt) > partLifetime {
			l.remove(g)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (l *Ledger) addGateway(ask Ask) *gatewayState {
	l.recordPart(ask)
	for _, other := range l.list {
		if other.address == ask.Address && ask.Address != "" {
			l.remove(other)
		}
	}
	g := &gatewayState{name: ask.Gateway, address: ask.Address, part: ask.Part}
	l.gateways[g.name] = g
	l.list = append(l.list, g)
	return g
}

func (l *Ledger) removeLeaving(ask Ask, g *gatewayState) {
	if g == nil {
		l.recordPart(ask)
		return
	}
	l.remove(g)
}

// recordPart records that the part of a gateway is not unknown any more. A part of a gateway
// that has had an answer in this term was not among the unknown ones.
func (l *Ledger) recordPart(ask Ask) {
	if ask.Acked == 0 {
		l.unknownParts = max(l.unknownParts-ask.Part, 0)
	}
}

// remove removes a gateway. It replaces the list, which may be being read.
func (l *Ledger) remove(g *gatewayState) {
	delete(l.gateways, g.name)
	l.list = slices.DeleteFunc(slices.Clone(l.list), func(other *gatewayState) bool { return other == g })
}

// roundUp rounds a delay up to a millisecond, which keeps messages short.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// partUnits is how finely parts are given, which keeps messages short.
const partUnits = 1e5

// assignPart returns the part of a gateway: an equal one, as far as the parts that
// others may have leave it. All parts together are at most 1.
func (l *Ledger) assignPart(ask Ask, g *gatewayState, now time.Time) float64 {
	others := l.unknown(now)
	for _, other := range l.list {
		if other != g {
			others += other.part
		}
	}
	part := max(min(1/float64(len(l.list)), 1-others), 0)
	part = math.Floor(part*partUnits) / partUnits
	// The answer may be lost.
	g.part = max(ask.Part, part)
	return part
}

func (l *Ledger) unknown(now time.Time) float64 {
	if now.Sub(l.began) > partLifetime {
		return 0
	}
	return l.unknownParts
}

// reservedShare returns the sum of the parts that gateways may use now or soon.
func (l *Ledger) reservedShare(now time.Time) float64 {
	sum := l.unknown(now)
	for _, g := range l.list {
		if now.Sub(g.ackedAt) > reserveAfter {
			sum += g.part
		}
	}
	return min(sum, 1)
}

// returnAll adds the tokens that a gateway returns. Those that it may have returned or
// spent before the last hold count as late. Those that an earlier ask has returned are added
// only if that ask has not arrived and can't any more. Nothing is known of the asks of a
// gateway that was forgotten, so g is nil.
func (l *Ledger) returnAll(ask Ask, g *gatewayState, now time.Time) {
	for _, t := range ask.Teams {
		if len(t.Returned) == 0 {
			continue
		}
		b := l.bucket(t.Team, now)
		for _, r := range t.Returned {
			grantedAt := time.UnixMilli(r.Granted)
			switch {
			case b == nil || !valid(r.Tokens):
			case r.First != 0 && (g == nil || r.First <= g.seq):
			case r.Earlier || grantedAt.After(now) || now.Sub(grantedAt) > hold:
				b.giveBackLate(l.config, r.Tokens, now)
			default:
				b.giveBack(l.config, r, grantedAt, now)
			}
		}
	}
}

// bucket returns the bucket of a team, refilled; nil for a team without a limit.
func (l *Ledger) bucket(name state.TeamName, now time.Time) *bucket {
	team := l.teams[name]
	if team == nil || !team.Quota.Limited() {
		return nil
	}
	b := l.buckets[name]
	if b == nil {
		b = &bucket{quota: team.Quota, limits: l.config.limits(team.Quota), lateAt: now}
		if !l.first {
			b.since = l.began
		}
		// An earlier controller may have granted up to now what it had, unless the
		// team is new and no earlier grant is younger than a window.
		if _, ok := l.appeared[name]; l.first || ok && now.Sub(l.began) > partLifetime+l.config.Window {
			b.level = b.capacity
			b.refilledAt = l.refilled
		} else {
			b.level = -b.debt
		}
		l.buckets[name] = b
	}
	b.refill(l.config, l.refilled, now)
	b.setQuota(l.config, team.Quota, now)
	return b
}

// grant answers the requests of a gateway for a team. A team without a limit gets what
// it asks for: the gateway has an older manifest.
func (l *Ledger) grant(g *gatewayState, ask *TeamAsk, part float64, now time.Time) TeamAnswer {
	var answer TeamAnswer
	if l.teams[ask.Team] == nil {
		answer.Unknown = true
		return answer
	}
	b := l.bucket(ask.Team, now)
	until := max(l.refillFrom.Sub(now), 0)
	for _, r := range ask.Requests {
		granted := Grant{Granted: b == nil}
		switch {
		case b == nil || !valid(r.Cost):
		case until > 0 && r.Cost > b.level:
			granted = Grant{Later: true, Delay: state.Duration(roundUp(until))}
		default:
			granted = b.grant(l.config, r.Cost, cmp.Or(r.Wait.Std(), maxDelay), b.rate*(1-partsShare*l.reserved), now)
		}
		if granted.Granted && b != nil {
			g.sent = append(g.sent, sentGrant{bucket: b, tokens: r.Cost, delay: granted.Delay.Std(), grantedAt: now})
		}
		answer.Grants = append(answer.Grants, granted)
	}
	if b != nil && valid(ask.Share) {
		answer.Share = b.share(l.config, ask.Share, now)
	}
	if b != nil && valid(ask.Standing) {
		answer.Standing = b.giveStanding(ask.Standing, part)
	}
	if b != nil {
		answer.Left = math.Round(max(b.level, 0))
	}
	return answer
}
