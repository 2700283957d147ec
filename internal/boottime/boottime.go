// Package boottime reads a monotonic clock that, unlike that of package time, also advances while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has supported this clock since version 2.6.39.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
