package cpratelimit

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// ForwardFunc runs a request on targets.
type ForwardFunc = func(context.Context, *clementineport.Route, *clementineport.OpaqueRequest) *cpforward.Result

// Limiter lets requests of workspaces with a quota pass when they have a token. It is safe for concurrent use.
type Limiter struct {
	options Options
	// collecting limits the calls to idle VMs.
	collecting chan struct{}

	mu   sync.Mutex
	node *Node
	view *cpfleetstate.View
	// ranks holds the place of each workspace in the order of the rates, for metrics.
	ranks   map[clementineport.WorkspaceID]int
	refused map[int]uint64
	// wake is the timer for waiting requests.
	wake *time.Timer
}

// New returns a limiter. Its Serve must run.
func New(opts ...Option) *Limiter {
	options := NewOptions(opts...)
	l := &Limiter{
		options: options, collecting: make(chan struct{}, maxCollecting), refused: map[int]uint64{},
		node: NewNode(options.Clock.Now(), options.Self.ID, options.Self.Start, cpquotas.WithBounds(options.Bounds), cpquotas.WithSalt(options.Salt)),
	}
	l.wake = time.AfterFunc(time.Hour, func() { l.update(nil) })
	return l
}

// enabled reports whether quotas are kept.
func (l *Limiter) enabled() bool { return l.options.Bounds.Window > 0 }

// SetRoutes applies the quotas of a new version of the routes.
func (l *Limiter) SetRoutes(table *clementineport.RouteTable) {
	if l.enabled() {
		quotas := cpquotas.QuotasOf(table)
		l.update(func(now time.Time) {
			l.node.SetQuotas(now, table.Version, quotas)
			l.ranks = ranksOf(quotas)
		})
	}
}

// update changes the state and makes the calls that are due afterwards.
func (l *Limiter) update(change func(now time.Time)) {
	l.mu.Lock()
	now := l.options.Clock.Now()
	if view := l.options.View(); view != nil && view != l.view {
		l.view = view
		l.node.SetFleet(view.Members, view.Senders())
	}
	if change != nil {
		change(now)
	}
	calls := l.node.Advance(now)
	if at := l.node.Wake(); !at.IsZero() {
		l.wake.Reset(max(minWake, at.Sub(now)))
	}
	l.mu.Unlock()
	for i := range calls {
		go l.call(&calls[i])
	}
}

// call makes a call and handles its result.
func (l *Limiter) call(call *Call) {
	if call.collection != nil {
		l.collecting <- struct{}{}
		defer func() { <-l.collecting }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var answer *clementineport.QuotaAnswer
	var err error
	if call.To.ID == l.options.Self.ID {
		answer, err = l.Quota(ctx, call.Request)
	} else {
		answer, err = l.options.Peers.Get(call.To).Quota(ctx, call.Request)
	}
	l.update(func(now time.Time) { l.node.Done(now, call, answer, err) })
}

// Quota implements cppeer.Handler.
func (l *Limiter) Quota(_ context.Context, r *clementineport.QuotaRequest) (answer *clementineport.QuotaAnswer, err error) {
	if !l.enabled() {
		return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM coordinates no quotas")
	}
	l.update(func(now time.Time) { answer = l.node.Handle(now, r) })
	return answer, nil
}

// Forward runs a request after it got a token, if its workspace has a quota.
func (l *Limiter) Forward(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) *cpforward.Result {
	if r.Workspace == "" || !l.enabled() {
		return l.options.Forward(ctx, route, r)
	}
	request, refusal := l.take(ctx, route, r)
	if refusal != nil {
		return cpforward.Failed(refusal)
	}
	result := l.options.Forward(ctx, route, r)
	if request != nil && neverSent(result) {
		l.update(func(now time.Time) { l.node.Cancel(now, request) })
	}
	return result
}

// neverSent reports whether no target may have got a request.
func neverSent(result *cpforward.Result) bool {
	return result.Err != nil && result.Err.Verdict() == clementineport.NotRun &&
		result.Stats.Sends == 0 && result.Attempts == 0 && result.Via == ""
}

// tokenWait returns how long a request with an objective waits for a token.
func tokenWait(objective time.Duration) time.Duration {
	return min(max(minTokenWait, time.Duration(float64(objective)*tokenWaitShare)), maxTokenWait)
}

// take waits for a token. The request is nil if the workspace has no quota.
func (l *Limiter) take(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) (*Request, *clementineport.Error) {
	maxWait := min(tokenWait(route.Objective), time.Until(r.Deadline))
	var request *Request
	l.update(func(now time.Time) {
		if l.node.Limited(r.Workspace) {
			request = l.node.Request(now, r.Workspace, maxWait)
		}
	})
	if request == nil {
		return nil, nil
	}
	select {
	case <-request.Decided:
	case <-ctx.Done():
		l.update(func(now time.Time) { l.node.Cancel(now, request) })
		return nil, cpforward.Unsent(ctx)
	}
	if request.Granted {
		return request, nil
	}
	l.mu.Lock()
	l.refused[l.ranks[r.Workspace]]++
	l.mu.Unlock()
	refusal := clementineport.Fail(clementineport.FaultQuota, "the quota of the workspace is used up")
	refusal.RetryAfter = request.RetryAfter
	return nil, refusal
}

// Serve renews bindings and reports changes until ctx is done. It implements suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	if !l.enabled() {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	retain := time.NewTicker(retainPeriod)
	defer retain.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-retain.C:
			l.options.Peers.Retain(l.options.View().Members)
			continue
		case <-ticker.C:
		}
		l.update(l.report)
	}
}

// report logs the changes of the coordinator.
func (l *Limiter) report(now time.Time) {
	for _, change := range l.node.coordinator.Changes(now) {
		if change.Workspace == "" {
			l.options.Log.Info(string(cplogevent.QuotaCoordinator), zap.Int("Group", change.Group), zap.Bool("Coordinates", change.Begins))
			continue
		}
		l.options.Log.Info(string(cplogevent.QuotaLimited), zap.String("Workspace", string(change.Workspace)), zap.Bool("Limited", change.Begins))
	}
}
