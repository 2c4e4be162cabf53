//go:build !linux

package cpratelimit

import "time"

func sinceBoot() (time.Duration, bool) { return 0, false }
