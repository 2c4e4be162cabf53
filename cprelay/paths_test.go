package cprelay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cprelay"
)

// pair is a root VM that sends calls through the owner VM "a" or the standby owner "b" of all targets.
type pair struct {
	routes *routes
	clock  *clockwork.FakeClock
	sender *cprelay.Sender
	// next is the number of the next call.
	next int
}

// newPair returns a root whose owner has the given outcomes, one for each target of a query.
func newPair(owner ...string) *pair {
	p := &pair{clock: clockwork.NewFakeClock(), routes: &routes{
		owners: map[clementineport.TargetID]clementineport.VMID{}, standbys: map[clementineport.TargetID]clementineport.VMID{},
		vms: map[clementineport.VMID]*vm{"a": {actions: owner}, "b": {actions: []string{"answer"}}},
	}}
	p.sender = cprelay.New(cprelay.WithClock(p.clock))
	return p
}

// query makes a call to each of some targets and returns how many failed.
func (p *pair) query(t *testing.T, targets int) (failed int) {
	var calls []clementineport.Call
	for i := range targets {
		target := clementineport.TargetID(fmt.Sprint("t", i))
		p.routes.owners[target], p.routes.standbys[target] = "a", "b"
		p.next++
		calls = append(calls, clementineport.Call{
			Attempt: clementineport.AttemptID(p.next), Shard: clementineport.ShardID(i), Target: target, Idempotent: true,
		})
	}
	var mu sync.Mutex
	p.sender.Send(t.Context(), p.routes, calls, func(result clementineport.CallResult) {
		mu.Lock()
		defer mu.Unlock()
		if result.Err != nil {
			failed++
		}
	})
	return failed
}

// received returns how many calls a VM has received since the last time.
func (p *pair) received(id clementineport.VMID) int {
	v := p.routes.vms[id]
	n := len(v.received)
	v.received = nil
	return n
}

// TestCallsOfAnOwnerThatReachesNoTargetGoThroughTheStandbyOwner has an owner that can connect to none of its targets, while the
// standby owner can. It guards against queries that fail because the path of one VM is taken for that of all.
func TestCallsOfAnOwnerThatReachesNoTargetGoThroughTheStandbyOwner(t *testing.T) {
	for _, outcome := range []string{"unreachable", "hang"} {
		t.Run(outcome, func(t *testing.T) {
			p, failed := newPair(outcome), 0
			for range 20 {
				failed += p.query(t, 7)
			}
			// The first queries may be needed to find out.
			assert.Assert(t, failed <= 2*7, "%d of %d calls failed", failed, 20*7)
		})
	}
}

// TestAnOwnerGetsItsCallsAgainOnceATargetAnswers checks that an owner that reaches no target gets a single call now and then, and
// all calls once one was answered.
func TestAnOwnerGetsItsCallsAgainOnceATargetAnswers(t *testing.T) {
	p := newPair("unreachable")
	p.query(t, 7)
	p.received("a")
	for range 5 {
		p.clock.Advance(time.Second)
		assert.Equal(t, p.query(t, 7), 0)
		assert.Equal(t, p.received("a"), 1)
	}
	p.routes.vms["a"].actions = []string{"answer"}
	p.clock.Advance(time.Second)
	p.query(t, 7)
	p.received("a")
	p.query(t, 7)
	assert.Equal(t, p.received("a"), 7)
}

// TestATargetThatHasEndedDoesNotMoveTheCallsOfItsOwner guards against an owner that loses its calls because of one target.
func TestATargetThatHasEndedDoesNotMoveTheCallsOfItsOwner(t *testing.T) {
	p := newPair("unreachable", "answer", "answer")
	for range 20 {
		assert.Equal(t, p.query(t, 3), 1)
		assert.Equal(t, p.received("a"), 3)
		assert.Equal(t, p.received("b"), 0)
	}
}

// TestRefusalsOfAnOwnerDoNotCountAgainstItsPath has an owner that refuses calls without having tried a connection.
func TestRefusalsOfAnOwnerDoNotCountAgainstItsPath(t *testing.T) {
	p := newPair("late")
	for range 20 {
		assert.Equal(t, p.query(t, 7), 7)
		assert.Equal(t, p.received("a"), 7)
	}
}
