package cpplatformvm

import (
	"time"

	"github.com/clementineport/clementineport/platform/cpconf"
)

// maxKeyAge returns the age of the view from which no key is accepted, or zero if keys are accepted at any age.
func maxKeyAge(b *cpconf.Bounds) time.Duration {
	if !b.StrictRevoke {
		return 0
	}
	return b.Revoke
}

// watchBound returns the time within which a change in the store must be known. Keys that must be refused at a lower age of the
// view need more frequent confirmations of it.
func watchBound(b *cpconf.Bounds) time.Duration {
	if age := maxKeyAge(b); age > 0 {
		return min(b.ConfigApply, age)
	}
	return b.ConfigApply
}
