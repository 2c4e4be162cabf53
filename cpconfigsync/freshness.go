package cpconfigsync

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// Freshness decides for each query whether new work may be sent. It is safe for concurrent use.
type Freshness struct {
	clock       clementineport.Clock
	base        time.Time
	staleAfter  int64
	lastContact atomic.Int64 // nanoseconds since base
	singleVM    atomic.Bool
	// minoritySince is, while this VM is in a minority, when its revision was last known to be the newest, in nanoseconds
	// since base; otherwise it is notMinority.
	minoritySince atomic.Int64
}

// notMinority is the value of minoritySince for a VM that is not in a minority.
const notMinority = math.MaxInt64

// NewFreshness returns a Freshness without any contact.
func NewFreshness(clock clementineport.Clock, staleAfter time.Duration) *Freshness {
	f := &Freshness{clock: clock, base: clock.Now(), staleAfter: int64(staleAfter)}
	f.lastContact.Store(-int64(staleAfter) - 1)
	f.minoritySince.Store(notMinority)
	return f
}

// RecordContact records an answer to a call that started at began. It ignores a time before the latest one.
func (f *Freshness) RecordContact(began time.Time) {
	at := int64(began.Sub(f.base))
	for {
		old := f.lastContact.Load()
		if at <= old || f.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// SetSingleVM records whether this VM is the only one that was ever listed.
func (f *Freshness) SetSingleVM(single bool) { f.singleVM.Store(single) }

// SetMinority records whether this VM is in a minority, and if so since when its revision is uncertain.
func (f *Freshness) SetMinority(since time.Time, minority bool) {
	if !minority {
		f.minoritySince.Store(notMinority)
		return
	}
	f.minoritySince.Store(int64(since.Sub(f.base)))
}

// Age returns the time since the last contact.
func (f *Freshness) Age() time.Duration {
	return f.clock.Now().Sub(f.base) - time.Duration(f.lastContact.Load())
}

// MaySend returns nil if new work may be sent now, or an error with FaultStale.
func (f *Freshness) MaySend() error {
	now := int64(f.clock.Now().Sub(f.base))
	if since := f.minoritySince.Load(); now-since > f.staleAfter {
		return clementineport.Fail(clementineport.FaultStale, "most VMs and the store have not answered for %v",
			time.Duration(now-since).Round(time.Millisecond))
	}
	if int64(f.Age()) <= f.staleAfter || f.singleVM.Load() {
		return nil
	}
	return clementineport.Fail(clementineport.FaultStale, "neither the store nor a peer has answered for %v", f.Age().Round(time.Millisecond))
}
