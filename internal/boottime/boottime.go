// Package boottime reads the clock that goes on while the host is suspended.
// Time that a process did not run counts in it, unlike in the monotonic clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start as a time without a time zone or
// a monotonic part. Only differences between its results mean anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // Linux has had it since 2.6.39.
	}
	return time.Unix(ts.Unix())
}
