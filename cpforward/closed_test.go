package cpforward_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpforward"
)

// closeFor makes all targets of a service ask for no requests for a time, each for a second longer than the one before.
func (f *fleet) closeFor(s clementineport.ServiceID, d time.Duration) {
	for i, c := range f.clients[s] {
		c.mu.Lock()
		c.notice.ClosedUntil = time.Now().Add(d + time.Duration(i)*time.Second)
		c.mu.Unlock()
	}
}

func (f *fleet) calls() (n int) {
	for _, clients := range f.clients {
		for _, c := range clients {
			n += c.count()
		}
	}
	return n
}

func TestARequestForShardsThatAreClosedIsRefusedAtOnceWithTheTimeToComeBack(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.closeFor("a", 4*time.Second)
	f.closeFor("b", 2*time.Second)
	route := gatherRoute(time.Second, 0.6, "a", "b", "c") // needs two of three
	began := time.Now()
	answer := f.forwarder().Forward(context.Background(), route, request(30*time.Second, 30*time.Second))
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, answer.Err != nil)
	assert.Equal(t, answer.Err.Verdict(), clementineport.NotRun)
	assert.Equal(t, f.calls(), 0)
	assert.Assert(t, answer.Err.RetryAfter > time.Second && answer.Err.RetryAfter <= 2*time.Second, "%v: shard b is enough", answer.Err.RetryAfter)
}

func TestAClosedShardIsLeftOutWhereTheLeastShareAllowsIt(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.closeFor("a", time.Hour)
	route := gatherRoute(10*time.Second, 0.6, "a", "b", "c")
	began := time.Now()
	answer := f.forwarder().Forward(context.Background(), route, request(30*time.Second, 30*time.Second))
	assert.Assert(t, time.Since(began) < 5*time.Second, "it does not wait for the closed shard")
	assert.Assert(t, answer.Gathered != nil)
	assert.Equal(t, answer.Gathered.Missing, 1)
	assert.Equal(t, f.clients["a"][0].count()+f.clients["a"][1].count(), 0)
}

func TestATargetThatIsClosedOrLeavesGetsNeitherHedgesNorRetries(t *testing.T) {
	for name, notice := range map[string]clementineport.TargetNotice{
		"closed": {ClosedUntil: time.Now().Add(time.Hour)}, "leaving": {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("a")
			f.clients["a"][1].notice = notice
			f.clients["a"][0].serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
				time.Sleep(150 * time.Millisecond)
				return nil, clementineport.Fail(clementineport.FaultShed, "full")
			}
			route := singleRoute(true)
			route.Objective = 100 * time.Millisecond
			answer := f.forwarder().Forward(context.Background(), route, request(500*time.Millisecond, 0))
			assert.Assert(t, answer.Err != nil)
			assert.Equal(t, f.clients["a"][1].count(), 0)
		})
	}
}

func TestAClosedTargetIsInUseAgainWhenItsTimeIsOver(t *testing.T) {
	f := newFleet("a")
	f.closeFor("a", 50*time.Millisecond)
	fw := f.forwarder()
	assert.Assert(t, fw.Forward(context.Background(), singleRoute(true), request(time.Second, 0)).Err != nil)
	time.Sleep(60 * time.Millisecond)
	assert.Assert(t, fw.Forward(context.Background(), singleRoute(true), request(time.Second, 0)).Part != nil)
}

func TestOneOpenTargetIsEnough(t *testing.T) {
	f := newFleet("a")
	f.clients["a"][0].notice.ClosedUntil = time.Now().Add(time.Hour)
	fw := f.forwarder(cpforward.WithSeed(3))
	for range 20 {
		answer := fw.Forward(context.Background(), singleRoute(false), request(time.Second, 0))
		assert.Assert(t, answer.Part != nil)
		assert.Equal(t, answer.Part.Target, f.clients["a"][1].id)
	}
}
