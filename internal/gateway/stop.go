package gateway

import "time"

// stopTimes are the times of a planned stop, from its beginning on.
type stopTimes struct {
	// refuse is from when on only requests are taken that surely end before
	// the verdicts.
	refuse time.Duration
	// verdicts is when requests that are still open end with a verdict.
	verdicts time.Duration
	// end is when the process ends at the latest.
	end time.Duration
}

const (
	// refuseShare, verdictShare and endShare are the times of a stop as shares
	// of its grace. Streams go on for more than five sixths of it, and what is
	// left is for the verdicts and the end of the process.
	refuseShare  = 0.35
	verdictShare = 0.88
	endShare     = 0.94
)

// newStopTimes divides the grace of a planned stop. Requests are taken for
// refuseAfter at most.
func newStopTimes(grace, refuseAfter time.Duration) stopTimes {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	return stopTimes{
		refuse:   min(refuseAfter, share(refuseShare)),
		verdicts: share(verdictShare),
		end:      share(endShare),
	}
}
