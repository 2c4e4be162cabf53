package cplimit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplimit"
)

func newTable(out bool, ids ...clementineport.TargetID) *clementineport.Table {
	t := &clementineport.Table{ByID: map[clementineport.TargetID]clementineport.TargetIndex{}}
	for i, id := range ids {
		t.ByID[id] = clementineport.TargetIndex(i)
		t.Targets = append(t.Targets, clementineport.TargetRow{
			TargetSpec:   clementineport.TargetSpec{ID: id},
			Group:        clementineport.Group{Name: "g", Slots: 1, Queue: 2},
			OutOfService: out,
		})
	}
	return t
}

func owned(ids ...clementineport.TargetID) func(clementineport.TargetID) bool {
	return func(id clementineport.TargetID) bool {
		for _, own := range ids {
			if own == id {
				return true
			}
		}
		return false
	}
}

// TestLimiterWakesQueuedCalls queues a call behind another and ends its wait in each possible way.
func TestLimiterWakesQueuedCalls(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(l *cplimit.Limiter, clock *clockwork.FakeClock, cancel func(), done func(*clementineport.CallResult))
		want clementineport.Fault
	}{
		{"slot free", func(_ *cplimit.Limiter, _ *clockwork.FakeClock, _ func(), done func(*clementineport.CallResult)) {
			done(answer(time.Millisecond))
		}, clementineport.FaultUnknown},
		{"canceled", func(_ *cplimit.Limiter, _ *clockwork.FakeClock, cancel func(), _ func(*clementineport.CallResult)) {
			cancel()
		}, clementineport.FaultDeadline},
		{"deadline", func(_ *cplimit.Limiter, clock *clockwork.FakeClock, _ func(), _ func(*clementineport.CallResult)) {
			clock.Advance(time.Second)
		}, clementineport.FaultDeadline},
		{"out of service", func(l *cplimit.Limiter, _ *clockwork.FakeClock, _ func(), _ func(*clementineport.CallResult)) {
			l.Update(newTable(true, "t"), owned("t"))
		}, clementineport.FaultTakenOut},
		{"removed", func(l *cplimit.Limiter, _ *clockwork.FakeClock, _ func(), _ func(*clementineport.CallResult)) {
			l.Update(newTable(false), owned())
		}, clementineport.FaultTakenOut},
		{"no longer owner", func(l *cplimit.Limiter, _ *clockwork.FakeClock, _ func(), _ func(*clementineport.CallResult)) {
			l.Update(newTable(false, "t"), owned())
		}, clementineport.FaultNotOwner},
		{"draining", func(_ *cplimit.Limiter, _ *clockwork.FakeClock, _ func(), done func(*clementineport.CallResult)) {
			done(failure(clementineport.FaultDraining, 0))
		}, clementineport.FaultDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := cplimit.New(cplimit.Clock(clock))
			l.Update(newTable(false, "t"), owned("t"))
			call := &clementineport.Call{Target: "t", Deadline: clock.Now().Add(time.Second)}
			done, err := l.Acquire(t.Context(), call)
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := make(chan error, 1)
			go func() {
				next, err := l.Acquire(ctx, call)
				if err == nil {
					next(answer(time.Millisecond))
				}
				result <- err
			}()
			assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
			assert.Equal(t, l.Load("t"), 2)
			c.act(l, clock, cancel, done)
			err = <-result
			assert.Equal(t, clementineport.FaultOf(err), c.want)
			if c.want != clementineport.FaultUnknown {
				assert.Equal(t, clementineport.VerdictOf(err), clementineport.NotRun)
			}
		})
	}
}

func ExampleNew() {
	l := cplimit.New()
	l.Update(newTable(false, "t1"), owned("t1"))
	call := &clementineport.Call{Target: "t1", Deadline: time.Now().Add(time.Second)}
	done, err := l.Acquire(context.Background(), call)
	fmt.Println(err, l.Load("t1"))
	done(answer(10 * time.Millisecond))
	_, err = l.Acquire(context.Background(), &clementineport.Call{Target: "t2"})
	fmt.Println(clementineport.FaultOf(err), l.Load("t1"))
	// Output:
	// <nil> 1
	// not-owner 0
}

func BenchmarkAcquire(b *testing.B) {
	l := cplimit.New()
	l.Update(newTable(false, "t"), owned("t"))
	call := &clementineport.Call{Target: "t"}
	res := answer(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		call.Deadline = time.Now().Add(time.Second)
		done, err := l.Acquire(b.Context(), call)
		if err != nil {
			b.Fatal(err)
		}
		done(res)
	}
}
