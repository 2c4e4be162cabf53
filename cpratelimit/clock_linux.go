package cpratelimit

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was started, including the time for which it was suspended. The monotonic clock of
// the runtime stands still meanwhile, and tokens and bindings from before would still count.
func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
