package cpforward_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpcrash"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cproute"
)

// crashPath is the path of requests that crash each target that runs them.
const crashPath = "/crash"

// crashFleet is a number of VMs with the targets of one service. The VMs share their reports at once, unless they have not reached
// each other.
type crashFleet struct {
	vms       []*cpforward.Forwarder
	unreached bool

	mu      sync.Mutex
	tracker *cpcrash.Tracker
	reports []clementineport.RequestReport
	// crashes is the number of calls that have crashed a target.
	crashes atomic.Int64
	calls   atomic.Int64
	targets []*fakeClient
}

func newCrashFleet(vms, targets int) *crashFleet {
	f := &crashFleet{tracker: cpcrash.New()}
	for i := range targets {
		c := &fakeClient{id: clementineport.TargetID(fmt.Sprintf("t-%d", i))}
		c.serve = func(_ context.Context, r *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			f.calls.Add(1)
			if r.URI != crashPath {
				return part(c.id), nil
			}
			f.crashes.Add(1)
			c.crash()
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
		f.targets = append(f.targets, c)
	}
	members := make([]clementineport.Member, vms)
	for i := range members {
		members[i].ID = clementineport.VMID(fmt.Sprintf("vm-%03d", i))
	}
	for i := range vms {
		f.vms = append(f.vms, f.vm(members, i))
	}
	return f
}

// crash makes a target refuse connections.
func (c *fakeClient) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuses = true
}

// vm returns the forwarder of a VM.
func (f *crashFleet) vm(members []clementineport.Member, i int) *cpforward.Forwarder {
	view := cpfleetstate.View{
		Router:   cproute.New(&clementineport.RouteTable{Services: map[clementineport.ServiceID]clementineport.TargetService{}}, nil),
		Services: map[clementineport.ServiceID][]cpfleetstate.Target{}, VMs: len(members), Members: members, Presumed: members, Self: members[i].ID,
	}
	for _, c := range f.targets {
		state := cpbalancer.NewTarget(clementineport.TargetInstance{ID: c.id, Service: "a", Slots: 2})
		view.Services["a"] = append(view.Services["a"], cpfleetstate.Target{State: state, Client: c, InFlightLimit: 10})
	}
	get := func() *cpfleetstate.View {
		f.mu.Lock()
		defer f.mu.Unlock()
		current := view
		current.Suspects = f.tracker.Suspects()
		if f.unreached {
			current.Members = members[i : i+1]
		}
		return &current
	}
	return newFleet("a").forwarder(cpforward.WithView(get), cpforward.WithSeed(uint64(i)), cpforward.WithOnReport(f.report))
}

func (f *crashFleet) report(r clementineport.RequestReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, r)
	if f.unreached {
		return
	}
	f.tracker.Report(time.Now(), &r)
}

// crashedAgo makes all VMs know that a request crashed some targets a time ago.
func (f *crashFleet) crashedAgo(d time.Duration, r *clementineport.OpaqueRequest, targets int) {
	for i := range targets {
		run := clementineport.TargetRun{ID: clementineport.TargetID(fmt.Sprintf("earlier-%d", i)), Born: 1}
		f.report(clementineport.RequestReport{Key: r.Key(), Run: run, Age: d})
	}
}

// allReports returns the reports so far.
func (f *crashFleet) allReports() []clementineport.RequestReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

func crashRequest() *clementineport.OpaqueRequest {
	r := request(2*time.Second, 0)
	r.URI = crashPath
	return r
}

// settle waits for the checks of crashes.
func settle() { time.Sleep(20 * time.Millisecond) }

// Guards against a request that crashes one target after the other because each VM sends its repeats as if they were new.
func TestARequestThatHasCrashedThreeTargetsIsSentByNoVM(t *testing.T) {
	for _, vms := range []int{6, 295} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			f := newCrashFleet(vms, 30)
			for i := 0; f.crashes.Load() < 3; i++ {
				f.vms[i%vms].Forward(context.Background(), singleRoute(true), crashRequest())
				settle()
			}
			before := f.calls.Load()
			for _, vm := range f.vms {
				answer := vm.Forward(context.Background(), singleRoute(true), crashRequest())
				assert.Assert(t, answer.Err != nil)
				assert.Equal(t, answer.Err.Verdict(), clementineport.NotRun)
			}
			assert.Equal(t, f.calls.Load(), before)
			assert.Assert(t, f.crashes.Load() <= 4, "%d targets crashed", f.crashes.Load())
			assert.Assert(t, f.vms[0].Forward(context.Background(), singleRoute(true), request(2*time.Second, 0)).Part != nil)
		})
	}
}

func TestOneVMTriesABlockedRequestOnceMore(t *testing.T) {
	for name, healthy := range map[string]bool{"it crashes a target": false, "it is served": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(20, 30)
			r := crashRequest()
			if healthy {
				r = request(2*time.Second, 0)
			}
			f.crashedAgo(5*time.Second, r, 3)
			for _, vm := range f.vms {
				vm.Forward(context.Background(), singleRoute(true), r)
			}
			assert.Equal(t, f.calls.Load(), int64(0), "the latest crash was not long ago")
			f.tracker = cpcrash.New()
			f.crashedAgo(11*time.Second, r, 3)
			for range 3 {
				for _, vm := range f.vms {
					vm.Forward(context.Background(), singleRoute(true), r)
				}
				settle()
			}
			if healthy {
				assert.Assert(t, f.calls.Load() > 20, "it is in use again")
				return
			}
			assert.Equal(t, f.calls.Load(), int64(1))
		})
	}
}

// TestVMsThatHaveJustStartedLeaveABlockedRequestToTheOneThatRanksFirst guards against a trial by each of them before they have reached
// each other.
func TestVMsThatHaveJustStartedLeaveABlockedRequestToTheOneThatRanksFirst(t *testing.T) {
	f := newCrashFleet(20, 30)
	r := crashRequest()
	f.crashedAgo(11*time.Second, r, 3)
	f.unreached = true
	for _, vm := range f.vms {
		vm.Forward(context.Background(), singleRoute(true), r)
	}
	assert.Equal(t, f.calls.Load(), int64(1))
}

func TestABlockedGatherIsNotTried(t *testing.T) {
	f := newCrashFleet(5, 10)
	r := crashRequest()
	f.crashedAgo(time.Minute, r, 3)
	for _, vm := range f.vms {
		assert.Assert(t, vm.Forward(context.Background(), gatherRoute(time.Second, 1, "a"), r).Err != nil)
	}
	assert.Equal(t, f.calls.Load(), int64(0))
}

// Guards against blocking a request that was under way at targets that crashed for another reason.
func TestARequestThatIsServedAfterCrashesIsNotBlocked(t *testing.T) {
	f := newCrashFleet(1, 4)
	r := request(2*time.Second, 0)
	f.crashedAgo(time.Second, r, 2)
	assert.Assert(t, f.vms[0].Forward(context.Background(), singleRoute(true), r).Part != nil)
	f.crashedAgo(0, r, 2)
	assert.Assert(t, f.vms[0].Forward(context.Background(), singleRoute(true), r).Part != nil)
}

// Guards against blocking a gather because several shards crashed at once: the others have served it.
func TestAGatherThatSomeShardsHaveServedIsNotTheCauseOfACrash(t *testing.T) {
	f := newFleet("a", "b")
	for _, c := range f.clients["a"] {
		c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			time.Sleep(20 * time.Millisecond)
			c.crash()
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
	}
	var reports atomic.Int64
	fw := f.forwarder(cpforward.WithOnReport(func(clementineport.RequestReport) { reports.Add(1) }))
	fw.Forward(context.Background(), gatherRoute(time.Second, 0.5, "a", "b"), request(time.Second, 0))
	settle()
	assert.Equal(t, reports.Load(), int64(0))
}

func TestALostConnectionIsNotACrash(t *testing.T) {
	for name, notice := range map[string]clementineport.TargetNotice{"the target goes on": {}, "the target was leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(1, 2)
			for _, c := range f.targets {
				c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
					if notice.Leaving {
						c.crash()
					}
					c.mu.Lock()
					c.notice = notice
					c.mu.Unlock()
					return nil, clementineport.Fail(clementineport.FaultReset, "reset")
				}
			}
			f.vms[0].Forward(context.Background(), singleRoute(true), crashRequest())
			settle()
			assert.Equal(t, len(f.allReports()), 0)
		})
	}
}

// Guards against a check for crashes that adds a connection for each of many that targets reset.
func TestChecksForCrashesAreFewWhereManyConnectionsAreLost(t *testing.T) {
	f := newCrashFleet(1, 5)
	var checks atomic.Int64
	for _, c := range f.targets {
		c.onCheck = func() { checks.Add(1) }
		c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
	}
	began := time.Now()
	for range 300 {
		f.vms[0].Forward(context.Background(), singleRoute(false), request(time.Second, 0))
	}
	settle()
	allowed := int64(6 + 2*time.Since(began).Seconds())
	assert.Assert(t, checks.Load() <= allowed, "%d checks", checks.Load())
	assert.Assert(t, f.vms[0].SkippedCrashChecks() >= 300-uint64(allowed))
}

// TestAVMThatLosesItsPathBlamesNoRequest guards against requests that are blocked at all VMs because one VM has lost its
// connections to all targets.
func TestAVMThatLosesItsPathBlamesNoRequest(t *testing.T) {
	f := newCrashFleet(2, 6)
	for _, c := range f.targets {
		c.crash()
		c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
	}
	for range 10 {
		f.vms[0].Forward(context.Background(), singleRoute(true), request(time.Second, 0))
	}
	time.Sleep(200 * time.Millisecond) // the checks for a crash end
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.reports), 0)
}
