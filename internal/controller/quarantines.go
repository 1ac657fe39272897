package controller

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// quarantineWriteInterval is the shortest time between writes of quarantines, also
// after a failure.
const quarantineWriteInterval = 500 * time.Millisecond

// maxStoredLag is how much earlier a quarantine may end in the store: the ends that
// gateways report to a new controller differ a little.
const maxStoredLag = 5 * time.Second

// stepQuarantineStore writes the next quarantine that the store does not have, or
// removes one that has ended. Only one call is in progress at a time.
func (c *Controller) stepQuarantineStore(ctx context.Context, now time.Time) {
	t := &c.crashes
	if c.opts.Quarantines == nil || t.writePending || now.Before(t.nextWrite) {
		return
	}
	key, until, ok := t.nextStoreChange(c.machine.Epoch())
	if !ok {
		return
	}
	t.writePending, t.nextWrite = true, now.Add(quarantineWriteInterval)
	attribution := t.attribution
	remaining := until.Sub(now)
	go func() {
		epoch, err := c.writeQuarantine(ctx, key, until, remaining)
		c.events <- func(c *Controller, now time.Time) {
			c.observeEpoch(epoch, now)
			if c.crashes.attribution == attribution {
				c.recordQuarantineWrite(key, storedQuarantine{until: until, epoch: epoch}, err)
			}
		}
	}()
}

// storedQuarantine is what this controller has last written for a key.
type storedQuarantine struct {
	// until is the end of the quarantine; zero if it was removed.
	until time.Time
	// epoch is the epoch of the log in the answer. The record may be lost in a later one.
	epoch fleet.LogEpoch
}

// nextStoreChange returns a quarantine that differs from what this controller has
// written to the log in its present epoch; the end is zero if it has to be removed.
func (t *crashTable) nextStoreChange(epoch fleet.LogEpoch) (key quarantine.Key, until time.Time, ok bool) {
	for key, until := range t.published.until {
		stored, ok := t.stored[key]
		if !ok || stored.epoch < epoch || until.IsZero() != stored.until.IsZero() || until.Sub(stored.until) > maxStoredLag {
			return key, until, true
		}
	}
	for key, stored := range t.stored {
		if _, current := t.published.until[key]; !current && (stored.epoch < epoch || !stored.until.IsZero()) {
			return key, time.Time{}, true
		}
	}
	return 0, time.Time{}, false
}

func (c *Controller) writeQuarantine(ctx context.Context, key quarantine.Key, until time.Time, remaining time.Duration) (fleet.LogEpoch, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if until.IsZero() {
		return c.opts.Quarantines.Remove(ctx, uint64(key))
	}
	// The clock of the controller is not the time of day.
	return c.opts.Quarantines.Put(ctx, fleet.QuarantineRecord{Key: uint64(key), Until: time.Now().Add(remaining)})
}

func (c *Controller) recordQuarantineWrite(key quarantine.Key, stored storedQuarantine, err error) {
	t := &c.crashes
	t.writePending = false
	if err != nil {
		c.opts.Logger.Warn("quarantine not written", "key", keyText(key), "error", err)
		return
	}
	t.stored[key] = stored
	c.opts.Logger.Info("quarantine written", "key", keyText(key), "removed", stored.until.IsZero(), "epoch", stored.epoch)
}
