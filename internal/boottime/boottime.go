// Package boottime reads CLOCK_BOOTTIME, which unlike the monotonic clock also
// counts the time for which the host, and so the process, is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted as a time.Time without a monotonic
// clock reading. Only differences between its results are meaningful, not dates
// or time zones.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // Available since Linux 2.6.39.
	}
	return time.Unix(ts.Unix())
}
