package gateway

import "time"

// stopTimes are the times of a planned stop, relative to its beginning.
type stopTimes struct {
	// refuseFrom is when requests whose deadline is after abortAt begin to be
	// refused.
	refuseFrom time.Duration
	// abortAt is when open requests are aborted and answered with a verdict.
	abortAt time.Duration
	// endAt is when the process ends at the latest.
	endAt time.Duration
}

const (
	// refuseShare, abortShare and endShare are the times of a stop as fractions of
	// its grace. Streams may run for more than five sixths of the grace; the rest
	// is left for the verdicts and the end of the process.
	refuseShare = 0.35
	abortShare  = 0.88
	endShare    = 0.94
)

// newStopTimes divides the grace of a planned stop. All new requests are accepted
// for at most refuseAfter.
func newStopTimes(grace, refuseAfter time.Duration) stopTimes {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	return stopTimes{
		refuseFrom: min(refuseAfter, share(refuseShare)),
		abortAt:    share(abortShare),
		endAt:      share(endShare),
	}
}
