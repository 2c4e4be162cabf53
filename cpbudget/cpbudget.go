// Package cpbudget decides whether an extra call (a hedge or a retry) may be made, so that extra load stays
// a bounded share of ordinary load. It keeps counters only: it reads no clock, takes no locks and makes no calls.
package cpbudget

import (
	"sync/atomic"

	"github.com/clementineport/clementineport"
)

// microsPerCall is the number of budget units that one extra call costs.
const microsPerCall = 1_000_000

var (
	_ clementineport.Budget = (*Bucket)(nil)

	// Unlimited grants every extra call.
	Unlimited clementineport.Budget = unlimited{}
	// None grants no extra call.
	None clementineport.Budget = empty{}
)

// Bucket is a budget that ordinary calls fill and extra calls drain.
// Over any run of calls it grants at most the share of the ordinary calls plus the burst.
type Bucket struct {
	perCall int64
	burst   atomic.Int64
	charged *Bucket
	level   atomic.Int64
}

// New returns a budget with the defaults for hedges.
func New(opts ...Option) *Bucket {
	o := Options{Share: DefaultHedgeShare, Burst: DefaultHedgeBurst}
	for _, opt := range opts {
		opt(&o)
	}
	b := &Bucket{perCall: int64(o.Share * microsPerCall), charged: o.ChargeTo}
	b.burst.Store(int64(o.Burst) * microsPerCall)
	b.level.Store(min(int64(o.Start)*microsPerCall, b.burst.Load()))
	return b
}

// NewPair returns the budgets for hedges and for retries. Retries are charged to the hedges as well, so that
// hedges are given up first and hedges and retries together stay within the share of hedges unless retries
// alone exceed it.
func NewPair() (hedges, retries *Bucket) {
	hedges = New()
	retries = New(
		WithShare(DefaultRetryShare), WithBurst(DefaultRetryBurst), WithStart(DefaultRetryBurst), WithChargeTo(hedges),
	)
	return hedges, retries
}

// Earn implements clementineport.Budget.
func (b *Bucket) Earn(calls int) { b.add(int64(calls) * b.perCall) }

// Credit adds extra calls, or parts of one, that no ordinary call has paid for.
func (b *Bucket) Credit(calls float64) { b.add(int64(calls * microsPerCall)) }

// SetBurst sets the largest number of extra calls that can be saved up, which may be broken. What is saved beyond it is
// lost.
func (b *Bucket) SetBurst(burst float64) {
	b.burst.Store(int64(burst * microsPerCall))
	b.add(0)
}

// add raises the level up to the burst.
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
	if b.charged != nil {
		b.charged.charge()
	}
	return true
}

// Level returns the number of extra calls that the budget holds.
func (b *Bucket) Level() float64 { return float64(b.level.Load()) / microsPerCall }

// SpendAbove takes one extra call from the budget if a share of what it can hold beyond that call would still be left
// for more important ones, or reports that there is none. A full budget always grants one.
func (b *Bucket) SpendAbove(reserve float64) bool {
	if b.level.Load()-microsPerCall < int64(reserve*float64(b.burst.Load()-microsPerCall)) {
		return false
	}
	return b.Spend()
}

// charge takes one call that another budget has granted; the debt is bounded by the burst.
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

type empty struct{}

func (empty) Earn(int) {}

func (empty) Spend() bool { return false }
