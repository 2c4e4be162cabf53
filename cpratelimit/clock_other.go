//go:build !linux

package cpratelimit

import "time"

// sinceBoot returns false: on these systems there is no clock that goes on while the machine is suspended.
func sinceBoot() (time.Duration, bool) { return 0, false }
