// Package cpbudget bounds extra calls (hedges and retries) to a share of ordinary calls. A budget consists of atomic
// counters only: it reads no clock, takes no locks and performs no I/O.
package cpbudget

import (
	"sync/atomic"

	"github.com/clementineport/clementineport"
)

// microsPerCall is the number of microcalls, the unit of a bucket's level, in one extra call.
const microsPerCall = 1_000_000

var (
	_ clementineport.Budget = (*Bucket)(nil)

	// Unlimited allows every extra call.
	Unlimited clementineport.Budget = unlimited{}
	// None allows no extra call.
	None clementineport.Budget = none{}
)

// Bucket is a token bucket that ordinary calls fill and extra calls drain. Over any sequence of calls it allows at most
// the share of the ordinary calls plus the burst. Its methods are safe for concurrent use.
type Bucket struct {
	// perCall, burst and level are in microcalls.
	perCall  int64
	burst    atomic.Int64
	chargeTo *Bucket
	level    atomic.Int64
}

// New returns a budget. Without options it has the share and burst of hedges.
func New(opts ...Option) *Bucket {
	o := Options{Share: DefaultHedgeShare, Burst: DefaultHedgeBurst}
	for _, opt := range opts {
		opt(&o)
	}
	b := &Bucket{perCall: int64(o.Share * microsPerCall), chargeTo: o.ChargeTo}
	b.burst.Store(int64(o.Burst) * microsPerCall)
	b.level.Store(min(int64(o.Start)*microsPerCall, b.burst.Load()))
	return b
}

// NewPair returns the budgets for hedges and for retries. Retries are charged to the budget of hedges as well, so that
// hedges stop before retries do, and both together stay within the share of hedges unless retries alone exceed it.
func NewPair() (hedges, retries *Bucket) {
	hedges = New()
	retries = New(
		WithShare(DefaultRetryShare), WithBurst(DefaultRetryBurst), WithStart(DefaultRetryBurst), WithChargeTo(hedges),
	)
	return hedges, retries
}

// Earn implements clementineport.Budget.
func (b *Bucket) Earn(calls int) { b.add(int64(calls) * b.perCall) }

// Credit adds extra calls, or fractions of one, that no ordinary call has earned.
func (b *Bucket) Credit(calls float64) { b.add(int64(calls * microsPerCall)) }

// SetBurst sets the maximum number of extra calls that the budget can hold, which may be fractional. Calls beyond it are
// lost.
func (b *Bucket) SetBurst(burst float64) {
	b.burst.Store(int64(burst * microsPerCall))
	b.add(0)
}

// add raises the level, up to the burst.
func (b *Bucket) add(micros int64) {
	for {
		level := b.level.Load()
		next := min(level+micros, b.burst.Load())
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// Spend implements clementineport.Budget.
func (b *Bucket) Spend() bool {
	for {
		level := b.level.Load()
		if level < microsPerCall {
			return false
		}
		if b.level.CompareAndSwap(level, level-microsPerCall) {
			break
		}
	}
	if b.chargeTo != nil {
		b.chargeTo.charge()
	}
	return true
}

// Level returns the number of extra calls in the budget. It is negative while calls charged by another budget exceed
// the credit.
func (b *Bucket) Level() float64 { return float64(b.level.Load()) / microsPerCall }

// SpendAbove takes one extra call from the budget if the level stays at or above a reserve, and reports whether it did.
// The reserve is a share of the burst less one call, so that a full budget always allows a call.
func (b *Bucket) SpendAbove(reserve float64) bool {
	if b.level.Load()-microsPerCall < int64(reserve*float64(b.burst.Load()-microsPerCall)) {
		return false
	}
	return b.Spend()
}

// charge takes one call that another budget has allowed. The level may become negative, down to minus the burst.
func (b *Bucket) charge() {
	for {
		level := b.level.Load()
		next := max(level-microsPerCall, -b.burst.Load())
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

type unlimited struct{}

func (unlimited) Earn(int) {}

func (unlimited) Spend() bool { return true }

type none struct{}

func (none) Earn(int) {}

func (none) Spend() bool { return false }
