package entry

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// maxPartWait bounds how long an answer is held.
	maxPartWait = 30 * time.Second
	// lagWait is how long an agent waits for an entry that lags behind it
	// before it is told to ask another one. It exceeds the 2 s between the
	// reads of an entry that is one of many.
	lagWait = 3 * time.Second
)

// part answers an agent with its upstream's part of the tables, at the earliest
// when the tables have reached the offsets that the agent names and the part
// differs from the one that it has.
func (c *control) part(ctx context.Context, p rpc.PartParams) (rpc.PartResult, error) {
	wait := time.NewTimer(min(p.MaxWait(), maxPartWait))
	defer wait.Stop()
	lag := time.NewTimer(min(p.MaxWait(), lagWait))
	defer lag.Stop()
	for {
		current := c.view()
		if refusal := current.unready(); refusal != nil {
			return rpc.PartResult{}, refusal
		}
		result := rpc.PartResult{PartOffsets: current.offsets()}
		result.Lagging = !result.Reaches(p.AtLeast)
		late := lag.C
		if !result.Lagging {
			late = nil
			part := state.PartOf(current.config, current.region, current.adapters, p.PartQuery)
			if sum := part.Sum(); sum != p.Known {
				result.Sum, result.Part = sum, &part
				return result, nil
			}
		}
		if done, err := c.awaitChange(ctx, current, wait.C, late); done {
			return result, err
		}
	}
}

// awaitChange waits until the streams' offsets differ from those of seen. It
// reports true if the answer is due before.
func (c *control) awaitChange(ctx context.Context, seen *view, wait, late <-chan time.Time) (due bool, err error) {
	for current := seen; ; current = c.view() {
		if current.offsets() != seen.offsets() {
			return false, nil
		}
		select {
		case <-current.replaced:
		case <-wait:
			return true, nil
		case <-late:
			return true, nil
		case <-ctx.Done():
			return true, ctx.Err()
		}
	}
}

func (v *view) offsets() rpc.PartOffsets {
	return rpc.PartOffsets{Config: v.config.Offset(), Region: v.region.Offset()}
}
