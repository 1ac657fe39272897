package logclient_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// step is one step of a schedule: a change of the faults, then an append, then
// a pause.
type step struct {
	faults  standin.LogFaults
	records int
	timeout time.Duration
	pause   time.Duration
}

func drawStep(t *rapid.T) step {
	millis := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	return step{
		faults: standin.LogFaults{
			Outage:     rapid.IntRange(0, 4).Draw(t, "outage") == 0,
			OutageNext: rapid.IntRange(0, 2).Draw(t, "outage next"),
			LoseNext:   rapid.IntRange(0, 2).Draw(t, "lose next"),
			DelayNext:  rapid.IntRange(0, 2).Draw(t, "delay next"),
			NextDelay:  state.Duration(millis(0, 4900, "delay")),
		},
		records: rapid.IntRange(1, 5).Draw(t, "records"),
		timeout: millis(1, 20_000, "timeout"),
		pause:   millis(0, 6000, "pause"),
	}
}

type call struct {
	name    string
	records int
	done    <-chan outcome
}

// runSchedule returns a description of the first wrong result, or "".
func runSchedule(t *testing.T, steps []step) (wrong string) {
	stored := standin.NewLog(standin.LogConfig{AppendsPerSecond: 5, Burst: 2})
	cfg := logclient.WriterConfig{Settle: 5 * time.Second, MaxBatch: 8, MaxBuffered: 20}
	ctx, cancel := context.WithCancel(t.Context())
	w := logclient.NewWriter(timeoutLog{stored, 2 * time.Second}, cfg)
	stopped := make(chan error, 1)
	go func() { stopped <- w.Run(ctx) }()
	var calls []call
	for i, s := range steps {
		stored.SetFaults(s.faults)
		callCtx, end := context.WithTimeout(ctx, s.timeout)
		defer end()
		name := fmt.Sprint("call", i)
		calls = append(calls, call{name, s.records, appendAsync(callCtx, w, numbered(name, s.records)...)})
		time.Sleep(s.pause)
	}
	stored.SetFaults(standin.LogFaults{})
	results := make([]outcome, len(calls))
	for i, c := range calls {
		results[i] = <-c.done
	}
	// Whatever may still take effect does so before the check.
	time.Sleep(time.Minute)
	cancel()
	if err := <-stopped; err != nil {
		return err.Error()
	}
	return check(stored.Records(stream), calls, results)
}

func check(records []state.StoredRecord, calls []call, results []outcome) string {
	copies := make(map[string][]state.Offset)
	for _, r := range records {
		copies[r.ID] = append(copies[r.ID], r.Offset)
	}
	for i, c := range calls {
		for n, r := range numbered(c.name, c.records) {
			if found := copies[r.ID]; !agrees(results[i], n, found) {
				return fmt.Sprintf("%s: result %+v, stored at %v", r.ID, results[i], found)
			}
		}
	}
	return ""
}

func agrees(got outcome, n int, found []state.Offset) bool {
	switch {
	case got.err == nil:
		return len(found) == 1 && found[0] == got.offsets[n]
	case errors.Is(got.err, platform.ErrUnknownOutcome):
		return len(found) <= 1
	default:
		return errors.Is(got.err, platform.ErrUnavailable) && len(found) == 0
	}
}

// Guards against a record that is stored twice, or a result that the log
// contradicts, under any schedule of outages, lost answers, late effects and
// callers that leave.
func TestWriterResultsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 12).Draw(rt, "steps")
		var wrong string
		synctest.Test(t, func(t *testing.T) { wrong = runSchedule(t, steps) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
