package entry

import "github.com/lagoonvalve/lagoonvalve/internal/logclient"

const (
	// regionReads is how many reads a second the entries of a region make of
	// one stream together: half a read for each of the 44 entries of the
	// two-year size. With fewer entries each has a larger share, so that an
	// operator of three entries does not wait for seconds after a few changes.
	regionReads = 22.0
	// leastReads bounds the share from below, so that a change is read within
	// 2 s however many entries are known. The known entries include those that
	// were replaced.
	leastReads = 0.5
)

// readPace bounds this entry's reads of a stream that many entries follow. An
// operator who makes one change after the other would wait 2 s for each, so the
// entry that makes a change reads at once until it has found it.
func (e *Entry) readPace() logclient.ReadLimit {
	return logclient.ReadLimit{PerSecond: e.readsPerSecond, Urgent: func() bool { return e.control.awaited.Load() > 0 }}
}

func (e *Entry) readsPerSecond() float64 {
	entries := 1
	for _, peer := range e.cfg.Peers {
		if peer.Region == e.cfg.Region && string(peer.Name) != e.cfg.Name {
			entries++
		}
	}
	if current := e.control.view(); current != nil {
		entries = max(entries, len(current.addresses))
	}
	return max(leastReads, regionReads/float64(entries))
}
