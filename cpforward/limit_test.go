package cpforward_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
)

// Figures of a target that states a rate limit.
const (
	// limitWindow is the length of the spans in which the requests of all VMs are counted.
	limitWindow = 4 * time.Second
	// limitOverrun multiplies what a limit allows in a span, and limitSlack is added, in requests.
	limitOverrun = 1.5
	limitSlack   = 5
)

// mostInSpan returns the highest number of times within any span of a length.
func mostInSpan(times []time.Time, span time.Duration) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitedTargetOfVMs is a target that states a rate limit and records when requests of any VM arrive.
type limitedTargetOfVMs struct {
	limit clementineport.RequestRate
	mu    sync.Mutex
	times []time.Time
}

// vm returns the forwarder of a VM that calls the target.
func (l *limitedTargetOfVMs) vm(vms, i int) *cpforward.Forwarder {
	f := newFleet("a")
	f.view.VMs = vms
	state := cpbalancer.NewTarget(clementineport.TargetInstance{ID: "limited", Service: "a", Slots: 6})
	client := &fakeClient{id: "limited", serve: func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.times = append(l.times, time.Now())
		return part("limited"), nil
	}}
	f.view.Services["a"] = []cpfleetstate.Target{{State: state, Client: client, InFlightLimit: 10, Limited: true, Limit: l.limit}}
	return f.forwarder(cpforward.WithSeed(uint64(i)))
}

// Guards against VMs that together send a target more requests than the rate limit that it states, each within its own view.
func TestATargetGetsNoMoreThanItsLimitFromAllVMsTogether(t *testing.T) {
	for _, vms := range []int{6, 295} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			t.Parallel()
			l := &limitedTargetOfVMs{limit: 30}
			end := time.Now().Add(limitWindow + time.Second)
			const perSecond = 150 // of all VMs together
			var wg sync.WaitGroup
			for i := range vms {
				wg.Go(func() {
					fw := l.vm(vms, i)
					pause := time.Duration(vms) * time.Second / perSecond
					time.Sleep(pause * time.Duration(i) / time.Duration(vms))
					for ; time.Now().Before(end); time.Sleep(pause) {
						fw.Forward(context.Background(), singleRoute(true), request(200*time.Millisecond, 0))
					}
				})
			}
			wg.Wait()
			allowed := int(limitOverrun*float64(l.limit)*limitWindow.Seconds()) + limitSlack
			most := mostInSpan(l.times, limitWindow)
			assert.Assert(t, most <= allowed, "%d requests in %v, of which %d are allowed", most, limitWindow, allowed)
		})
	}
}

// limit makes all targets of a service state a rate limit.
func (f *fleet) limit(s clementineport.ServiceID, rate clementineport.RequestRate) {
	targets := f.view.Services[s]
	for i := range targets {
		targets[i].Limited, targets[i].Limit = true, rate
	}
}

func TestARequestThatLimitsDoNotAllowByItsDeadlineIsRefusedAtOnce(t *testing.T) {
	f := newFleet("a")
	f.view.VMs = 1_000_000 // each gets one request in about 58 days, so that none is due by the deadline
	f.limit("a", 0.25)
	fw := f.forwarder()
	fw.Forward(context.Background(), singleRoute(true), request(50*time.Millisecond, 0)) // the shares of the limits begin
	before, began := f.calls(), time.Now()
	answer := fw.Forward(context.Background(), singleRoute(true), request(30*time.Second, 0))
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Assert(t, answer.Err != nil)
	assert.Equal(t, answer.Err.Verdict(), clementineport.NotRun)
	assert.Assert(t, answer.Err.RetryAfter > 0)
	assert.Equal(t, f.calls(), before)
}

func TestALimitEndsWithTheStatementOfTheTarget(t *testing.T) {
	f := newFleet("a")
	f.view.VMs = 295
	f.limit("a", 0)
	fw := f.forwarder()
	assert.Assert(t, fw.Forward(context.Background(), singleRoute(true), request(50*time.Millisecond, 0)).Err != nil)
	for i := range f.view.Services["a"] {
		f.view.Services["a"][i].Limited = false
	}
	assert.Assert(t, fw.Forward(context.Background(), singleRoute(true), request(5*time.Second, 0)).Part != nil)
}
