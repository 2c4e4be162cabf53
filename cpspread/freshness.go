package cpspread

import (
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// Freshness answers on the query path whether new work may be sent. It is safe for concurrent use.
type Freshness struct {
	clock      clementineport.Clock
	base       time.Time
	staleAfter int64
	contact    atomic.Int64 // nanoseconds since base
	alone      atomic.Bool
}

// NewFreshness returns a Freshness that has had no contact yet.
func NewFreshness(clock clementineport.Clock, staleAfter time.Duration) *Freshness {
	f := &Freshness{clock: clock, base: clock.Now(), staleAfter: int64(staleAfter)}
	f.contact.Store(-int64(staleAfter) - 1)
	return f
}

// Contacted records an answer to a question that was asked at began; an earlier time changes nothing.
func (f *Freshness) Contacted(began time.Time) {
	at := int64(began.Sub(f.base))
	for {
		old := f.contact.Load()
		if at <= old || f.contact.CompareAndSwap(old, at) {
			return
		}
	}
}

// SetAlone records whether this VM is the only one that was ever listed.
func (f *Freshness) SetAlone(alone bool) { f.alone.Store(alone) }

// Age returns the time since the last contact.
func (f *Freshness) Age() time.Duration {
	return f.clock.Now().Sub(f.base) - time.Duration(f.contact.Load())
}

// MaySend returns nil when new work may be sent now, or the refusal.
func (f *Freshness) MaySend() error {
	if int64(f.Age()) <= f.staleAfter || f.alone.Load() {
		return nil
	}
	return clementineport.Fail(clementineport.FaultStale, "neither the store nor a peer has answered for %v", f.Age().Round(time.Millisecond))
}
