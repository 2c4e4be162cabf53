package cpforward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cproute"
)

// fakeClient is a clementineport.OpaqueTarget whose responses come from serve.
type fakeClient struct {
	id    clementineport.TargetID
	serve func(ctx context.Context, r *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error)

	mu     sync.Mutex
	calls  int
	notice clementineport.TargetNotice
	// refuses is true if the target refuses connections.
	refuses bool
	// onCheck, if not nil, is called when it is checked whether the target refuses connections.
	onCheck func()
}

// Do implements clementineport.OpaqueTarget.
func (c *fakeClient) Do(ctx context.Context, r *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	c.mu.Lock()
	c.calls++
	serve := c.serve
	c.mu.Unlock()
	return serve(ctx, r)
}

// Notice implements clementineport.OpaqueTarget.
func (c *fakeClient) Notice() clementineport.TargetNotice {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notice
}

// Resize implements clementineport.OpaqueTarget.
func (c *fakeClient) Resize(int) {}

// Connect implements clementineport.OpaqueTarget.
func (c *fakeClient) Connect(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuses {
		return clementineport.Fail(clementineport.FaultRefused, "refused")
	}
	return nil
}

// Refuses implements clementineport.OpaqueTarget.
func (c *fakeClient) Refuses(context.Context) bool {
	if c.onCheck != nil {
		c.onCheck()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuses
}

// SetLimit implements clementineport.OpaqueTarget.
func (c *fakeClient) SetLimit(bool, clementineport.RequestRate) {}

// Open implements clementineport.OpaqueTarget.
func (c *fakeClient) Open() (int, uint64) { return 0, 0 }

// Close implements clementineport.OpaqueTarget.
func (c *fakeClient) Close() {}

// count returns the number of calls so far.
func (c *fakeClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// fleet is a view with two targets for each service.
type fleet struct {
	mu      sync.Mutex
	view    *cpfleetstate.View
	clients map[clementineport.ServiceID][]*fakeClient
}

func newFleet(services ...clementineport.ServiceID) *fleet {
	f := &fleet{clients: map[clementineport.ServiceID][]*fakeClient{}}
	f.view = &cpfleetstate.View{
		Router:   cproute.New(&clementineport.RouteTable{Services: map[clementineport.ServiceID]clementineport.TargetService{}}, nil),
		Services: map[clementineport.ServiceID][]cpfleetstate.Target{}, VMs: 1,
	}
	for _, s := range services {
		for n := range 2 {
			c := &fakeClient{id: clementineport.TargetID(fmt.Sprintf("%s-%d", s, n))}
			c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
				return part(c.id), nil
			}
			f.clients[s] = append(f.clients[s], c)
			state := cpbalancer.NewTarget(clementineport.TargetInstance{ID: c.id, Service: s, Slots: 2})
			f.view.Services[s] = append(f.view.Services[s], cpfleetstate.Target{State: state, Client: c, InFlightLimit: 10})
		}
	}
	return f
}

// part returns a successful response of a target.
func part(id clementineport.TargetID) *clementineport.OpaqueResponse {
	return &clementineport.OpaqueResponse{Target: id, Status: 200, Signature: string(id), Body: []byte("0123456789abcdef")}
}

// hang blocks until the call is canceled.
func hang(ctx context.Context, _ *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	<-ctx.Done()
	return nil, clementineport.Fail(clementineport.FaultCanceled, "canceled")
}

// get returns the current view.
func (f *fleet) get() *cpfleetstate.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// drain replaces the view by one without the targets of a service.
func (f *fleet) drain(s clementineport.ServiceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := *f.view
	view.Services = map[clementineport.ServiceID][]cpfleetstate.Target{}
	for name, targets := range f.view.Services {
		if name != s {
			view.Services[name] = targets
		}
	}
	f.view = &view
}

func (f *fleet) forwarder(opts ...cpforward.Option) *cpforward.Forwarder {
	return cpforward.New(append([]cpforward.Option{
		cpforward.WithView(f.get), cpforward.WithSeed(1), cpforward.WithRetryBound(cpquota.RetryBound{Ratio: 0.5, Slack: 20, Window: 10 * time.Second}), cpforward.WithColdBound(1, 5),
	}, opts...)...)
}

func gatherRoute(objective time.Duration, share float64, shards ...clementineport.ServiceID) *clementineport.Route {
	return &clementineport.Route{
		Name: "gather", Idempotent: true, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: objective, Shards: shards,
		TopRecords: 10, LeastCoverage: share,
	}
}

func singleRoute(idempotent bool) *clementineport.Route {
	return &clementineport.Route{
		Name: "single", Idempotent: idempotent, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: time.Second,
		Services: []clementineport.WeightedService{{Service: "a", Weight: 1}},
	}
}

func request(left, maxWait time.Duration) *clementineport.OpaqueRequest {
	now := time.Now()
	return &clementineport.OpaqueRequest{ID: "r", Method: "GET", URI: "/", Arrived: now, Deadline: now.Add(left), MaxWait: maxWait}
}

func TestAGatherIsMadeOfOnePartFromEachShard(t *testing.T) {
	f := newFleet("a", "b", "c")
	answer := f.forwarder().Forward(context.Background(), gatherRoute(time.Second, 1, "a", "b", "c"), request(time.Second, time.Second))
	assert.Assert(t, answer.Gathered != nil, "%v", answer.Err)
	assert.Equal(t, len(answer.Gathered.Signatures), 3)
	assert.Equal(t, len(answer.Gathered.Body), 48)
	assert.Equal(t, answer.Gathered.Missing, 0)
}

func TestAShorterTimeoutDoesNotMakeAnAnswerCloseEarly(t *testing.T) {
	f := newFleet("a", "b")
	fw := f.forwarder()
	route := gatherRoute(400*time.Millisecond, 0.5, "a", "b")
	fw.Forward(context.Background(), route, request(2*time.Second, 2*time.Second))
	slow := func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		time.Sleep(100 * time.Millisecond)
		return part("b"), nil
	}
	f.clients["b"][0].serve, f.clients["b"][1].serve = slow, slow
	// Operators have shortened the timeout by 350 ms, but the caller waits as long as before. The answer must not be
	// returned early as if the caller had used up the difference.
	answer := fw.Forward(context.Background(), route, request(1650*time.Millisecond, 2*time.Second))
	assert.Assert(t, answer.Gathered != nil)
	assert.Equal(t, answer.Gathered.Missing, 0)
}

func TestACallerThatHasUsedItsTimeElsewhereGetsItsAnswerSooner(t *testing.T) {
	f := newFleet("a", "b")
	fw := f.forwarder()
	route := gatherRoute(8*time.Second, 0.5, "a", "b")
	fw.Forward(context.Background(), route, request(20*time.Second, 20*time.Second))
	f.clients["b"][0].serve, f.clients["b"][1].serve = hang, hang
	began := time.Now()
	answer := fw.Forward(context.Background(), route, request(12500*time.Millisecond, 12500*time.Millisecond))
	assert.Assert(t, answer.Gathered != nil)
	assert.Equal(t, answer.Gathered.Missing, 1)
	assert.Assert(t, time.Since(began) < 7*time.Second)
}

func TestADrainingTargetGetsNoFurtherCallsNotEvenAHedge(t *testing.T) {
	f := newFleet("a")
	for _, c := range f.clients["a"] {
		c.serve = hang
	}
	route := singleRoute(true)
	route.Objective = 100 * time.Millisecond
	done := make(chan *cpforward.Result, 1)
	go func() { done <- f.forwarder().Forward(context.Background(), route, request(300*time.Millisecond, 0)) }()
	for f.clients["a"][0].count()+f.clients["a"][1].count() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.drain("a")
	answer := <-done
	assert.Assert(t, answer.Err != nil)
	assert.Equal(t, f.clients["a"][0].count()+f.clients["a"][1].count(), 1)
}

func TestACallerThatDisconnectsCancelsTheCallsToTargets(t *testing.T) {
	f := newFleet("a")
	canceled := make(chan struct{}, 2)
	for _, c := range f.clients["a"] {
		c.serve = func(ctx context.Context, r *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			part, err := hang(ctx, r)
			canceled <- struct{}{}
			return part, err
		}
	}
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan *cpforward.Result, 1)
	go func() { done <- f.forwarder().Forward(ctx, singleRoute(false), request(10*time.Second, 0)) }()
	for f.clients["a"][0].count()+f.clients["a"][1].count() == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the call is not canceled")
	}
	assert.Assert(t, (<-done).Err != nil)
}

func TestARequestThatIsNotIdempotentIsSentOnceUnlessItWasRefused(t *testing.T) {
	f := newFleet("a")
	for _, c := range f.clients["a"] {
		c.serve = func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
	}
	answer := f.forwarder().Forward(context.Background(), singleRoute(false), request(time.Second, 0))
	assert.Assert(t, answer.Err != nil)
	assert.Equal(t, answer.Err.Verdict(), clementineport.MayHaveRun)
	assert.Equal(t, f.clients["a"][0].count()+f.clients["a"][1].count(), 1)
}

func TestAServiceWithoutTargetsIsRefusedAtOnce(t *testing.T) {
	f := newFleet("a")
	f.drain("a")
	began := time.Now()
	answer := f.forwarder().Forward(context.Background(), singleRoute(true), request(5*time.Second, 0))
	assert.Assert(t, answer.Err != nil)
	assert.Equal(t, answer.Err.Verdict(), clementineport.NotRun)
	assert.Assert(t, answer.Err.RetryAfter > 0)
	assert.Assert(t, time.Since(began) < 4*time.Second)
}

func TestOnlyTheOwnerSendsToAColdTargetAndSlowly(t *testing.T) {
	f := newFleet("a")
	for i := range f.view.Services["a"] {
		f.view.Services["a"][i].WarmAt = time.Now().Add(time.Hour)
	}
	answer := f.forwarder().Forward(context.Background(), singleRoute(true), request(100*time.Millisecond, 0))
	assert.Assert(t, answer.Err != nil)
	assert.Equal(t, f.clients["a"][0].count()+f.clients["a"][1].count(), 0)
	f.view.Services["a"][0].Owned, f.view.Services["a"][0].OwnedFrom = true, time.Now().Add(time.Hour)
	f.forwarder().Forward(context.Background(), singleRoute(true), request(50*time.Millisecond, 0))
	assert.Equal(t, f.clients["a"][0].count(), 0, "another VM may still call it")
	f.view.Services["a"][0].OwnedFrom = time.Time{}
	fw := f.forwarder()
	for range 20 {
		fw.Forward(context.Background(), singleRoute(true), request(50*time.Millisecond, 0))
	}
	assert.Assert(t, f.clients["a"][0].count() >= 1)
	assert.Assert(t, f.clients["a"][0].count() <= 4, "%d calls to the cold target in a second", f.clients["a"][0].count())
	assert.Equal(t, f.clients["a"][1].count(), 0)
}
