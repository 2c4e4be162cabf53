package cpratelimit

import "time"

// BootClock is a clock that goes on while the machine is suspended, where the system provides one. Its times are only comparable
// with each other.
type BootClock struct {
	began time.Time
	boot  time.Duration
	ok    bool
}

// NewBootClock returns a clock that starts now.
func NewBootClock() *BootClock {
	boot, ok := sinceBoot()
	return &BootClock{began: time.Now(), boot: boot, ok: ok}
}

// Now implements clementineport.Clock.
func (c *BootClock) Now() time.Time {
	if boot, ok := sinceBoot(); c.ok && ok {
		return c.began.Add(boot - c.boot)
	}
	return c.began.Add(time.Since(c.began))
}

// After implements clementineport.Clock.
func (*BootClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
