package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// changeTimeout bounds a change of the configuration from its append to its
// place in the tables.
const changeTimeout = 10 * time.Second

// changeConfig appends a change and waits until its place in the log decides
// what became of it. A change that the tables refuse already is not appended;
// the refusal is final only for the state that this entry has read.
func (c *control) changeConfig(ctx context.Context, change state.ConfigChange) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if outcome, err := c.checkChange(ctx, change); err != nil {
		return outcome, err
	}
	record, err := state.NewRecord(uuid.NewString(), c.cfg.self, state.KindConfigChange, change)
	if err != nil {
		return state.Outcome{}, errors.Wrap(err, "change")
	}
	placed := make(chan state.Outcome, 1)
	if !c.post(ctx, waiterAdded{record: record.ID, outcome: placed}) {
		return state.Outcome{}, changeTimedOut()
	}
	defer c.post(context.WithoutCancel(ctx), waiterRemoved{record: record.ID})
	c.awaited.Add(1)
	defer c.awaited.Add(-1)
	if _, err := c.deps.appender.Append(ctx, platform.StreamConfig, record); errors.Is(err, platform.ErrUnavailable) {
		return state.Outcome{}, appendVerdict(err)
	}
	// After an append of unknown outcome the record's place tells as well.
	select {
	case outcome := <-placed:
		return outcome, changeVerdict(outcome)
	case <-ctx.Done():
		return state.Outcome{}, changeTimedOut()
	}
}

// checkChange tells what a change would come to now.
func (c *control) checkChange(ctx context.Context, change state.ConfigChange) (state.Outcome, error) {
	if refusal := c.view().unready(); refusal != nil {
		return state.Outcome{}, refusal
	}
	reply := make(chan state.Outcome, 1)
	c.post(ctx, changeChecked{change: change, reply: reply})
	select {
	case outcome := <-reply:
		return outcome, changeVerdict(outcome)
	case <-ctx.Done():
		return state.Outcome{}, verdict.Refuse(verdict.ReasonNotReady, "the change could not be checked in time")
	}
}

// changeChecked asks what a change would come to.
type changeChecked struct {
	change state.ConfigChange
	reply  chan state.Outcome
}

func (e changeChecked) apply(c *control, _ time.Time) { e.reply <- c.config.Check(e.change) }

func changeTimedOut() *verdict.Verdict {
	return verdict.Unknown(verdict.ReasonUnknownOutcome, "the change may be in the log; read the entity before repeating it")
}

func appendVerdict(err error) error {
	if errors.Is(err, platform.ErrUnavailable) {
		return verdict.Refuse(verdict.ReasonLogUnavailable, "the log takes no changes now").WithRetryAfter(time.Second)
	}
	return changeTimedOut()
}

// changeVerdict is nil for an applied change.
func changeVerdict(o state.Outcome) error {
	switch o.Effect {
	case state.EffectApplied:
		return nil
	case state.EffectConflict:
		detail := fmt.Sprintf("changed meanwhile by %s; revision %d, offset %d", o.Winner.Actor, o.Winner.Revision, o.Winner.Offset)
		return verdict.Refuse(verdict.ReasonConflict, detail)
	case state.EffectIgnored:
		// The tables came from a snapshot that covers the record, which does
		// not tell what became of it.
		return changeTimedOut()
	default:
		return verdict.Refuse(verdict.ReasonInvalidChange, strings.Join(o.Reasons, "; "))
	}
}
