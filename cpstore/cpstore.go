// Package cpstore implements the platform's store and its list of VMs in memory, with scripted failures for tests and
// stand-ins. It treats values as opaque bytes.
package cpstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/clementineport/clementineport"
)

// Store is an in-memory clementineport.Store. It never reuses a version, not even after a restore.
type Store struct {
	// Script contains the failures of calls to the store.
	Script Script
	opts   Options
	writes *rate.Limiter
	reads  *rate.Limiter
	counts [NumOps]atomic.Int64

	mu          sync.Mutex
	lastVersion uint64
	items       map[string]clementineport.Item
	leases      map[string]clementineport.Lease
	changed     chan struct{}
}

var _ clementineport.Store = (*Store)(nil)

// Image is a saved copy of the values of a store.
type Image struct {
	items map[string][]byte
}

// New returns an empty store.
func New(opts ...Option) *Store {
	o := newOptions(opts)
	return &Store{
		opts:    o,
		writes:  newLimiter(o.WritesPerSecond),
		reads:   newLimiter(o.ReadsPerSecond),
		items:   make(map[string]clementineport.Item),
		leases:  make(map[string]clementineport.Lease),
		changed: make(chan struct{}),
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Get implements clementineport.Store.
func (s *Store) Get(ctx context.Context, key string) (clementineport.Item, error) {
	return run(ctx, s.opts.Clock, s.Script.Next(OpGet), func() (clementineport.Item, error) { return s.get(key) })
}

// CompareAndSwap implements clementineport.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	return run(ctx, s.opts.Clock, s.Script.Next(OpCompareAndSwap), func() (uint64, error) { return s.compareAndSwap(key, expected, value) })
}

// Watch implements clementineport.Store.
func (s *Store) Watch(ctx context.Context, key string, seen uint64, wait time.Duration) (clementineport.Item, error) {
	return run(ctx, s.opts.Clock, s.Script.Next(OpWatch), func() (clementineport.Item, error) { return s.watch(ctx, key, seen, wait) })
}

// Acquire implements clementineport.Store.
func (s *Store) Acquire(ctx context.Context, key, holder string, ttl time.Duration) (clementineport.Lease, error) {
	return run(ctx, s.opts.Clock, s.Script.Next(OpLease), func() (clementineport.Lease, error) { return s.acquire(key, holder, ttl) })
}

// run makes a call and injects the given failure.
func run[T any](ctx context.Context, clock clementineport.Clock, f Failure, call func() (T, error)) (T, error) {
	var zero T
	switch f.Mode {
	case ModeDown:
		return zero, clementineport.Fail(clementineport.FaultUnavailable, "the store is down")
	case ModeRefuse:
		return zero, clementineport.Fail(clementineport.FaultRefused, "no connection to the store")
	case ModeResetBefore:
		return zero, clementineport.Fail(clementineport.FaultReset, "the connection to the store broke")
	case ModeHang:
		return zero, waitForCancel(ctx)
	case ModeSlow:
		select {
		case <-ctx.Done():
			return zero, waitForCancel(ctx)
		case <-clock.After(f.Delay):
		}
	}
	if err := ctx.Err(); err != nil {
		return zero, clementineport.Fail(clementineport.FaultUnsent, "the call was given up: %v", err)
	}
	value, err := call()
	switch f.Mode {
	case ModeLoseReply:
		return zero, clementineport.Fail(clementineport.FaultReset, "the connection to the store broke")
	case ModeCut:
		return zero, clementineport.Fail(clementineport.FaultCut, "the response ended early")
	case ModeHangAfter:
		return zero, waitForCancel(ctx)
	case ModeMalformed:
		return zero, clementineport.Fail(clementineport.FaultMalformed, "the response can't be decoded")
	case ModeOversized:
		return zero, clementineport.Fail(clementineport.FaultOversized, "the response is too large")
	}
	return value, err
}

func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	if context.Cause(ctx) == context.DeadlineExceeded {
		return clementineport.Fail(clementineport.FaultTimeout, "no response in time")
	}
	return clementineport.Fail(clementineport.FaultCanceled, "the call was canceled")
}

// Unscripted returns the store without scripted failures, for a server that injects them on its connections.
func (s *Store) Unscripted() clementineport.Store { return unscripted{s} }

type unscripted struct{ s *Store }

func (u unscripted) Get(_ context.Context, key string) (clementineport.Item, error) {
	return u.s.get(key)
}

func (u unscripted) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	return u.s.compareAndSwap(key, expected, value)
}

func (u unscripted) Watch(ctx context.Context, key string, seen uint64, wait time.Duration) (clementineport.Item, error) {
	return u.s.watch(ctx, key, seen, wait)
}

func (u unscripted) Acquire(_ context.Context, key, holder string, ttl time.Duration) (clementineport.Lease, error) {
	return u.s.acquire(key, holder, ttl)
}

// Counts returns the number of calls of each kind by name.
func (s *Store) Counts() map[string]int64 {
	counts := make(map[string]int64, NumOps)
	for op := range NumOps {
		counts[op.String()] = s.counts[op].Load()
	}
	return counts
}

// Allow counts a call and returns an error if the call exceeds the rate limit.
func (s *Store) Allow(op Op) error {
	s.counts[op].Add(1)
	limiter := s.reads
	if op == OpCompareAndSwap || op == OpLease {
		limiter = s.writes
	}
	if limiter.AllowN(s.opts.Clock.Now(), 1) {
		return nil
	}
	return &clementineport.Error{
		Fault: clementineport.FaultShed, Reason: "too many calls a second", RetryAfter: time.Second,
	}
}
