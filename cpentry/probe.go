package cpentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsnapshot"
	"github.com/clementineport/clementineport/cpview"
)

// prober limits how often each service is probed and how often queries wait for probes.
type prober struct {
	clock          clementineport.Clock
	interval       time.Duration
	fastInterval   time.Duration
	mu             sync.Mutex
	lastProbe      map[clementineport.ServiceID]*probe
	lastFailedWait map[clementineport.ServiceID]time.Time
	sequence       uint64
}

type probe struct {
	began time.Time
	done  chan struct{}
}

// waitDeadline returns until, or now if a wait within the last probe interval did not help, that is, if not all shards
// of the service could be covered after it. This way a lasting loss of shards delays few queries.
func (p *prober) waitDeadline(service clementineport.ServiceID, now, until time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastFailedWait[service]) < p.interval {
		return now
	}
	return until
}

// recordWait records whether every shard could be covered after a wait for a probe.
func (p *prober) recordWait(service clementineport.ServiceID, now time.Time, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if complete {
		delete(p.lastFailedWait, service)
		return
	}
	p.lastFailedWait[service] = now
}

func newProber(o *Options) *prober {
	return &prober{
		clock:          o.Clock,
		interval:       o.ProbeInterval,
		fastInterval:   o.FastProbeInterval,
		lastProbe:      make(map[clementineport.ServiceID]*probe),
		lastFailedWait: make(map[clementineport.ServiceID]time.Time),
	}
}

// start starts a probe unless the last one of the service started within the probe interval. It returns a channel
// that is closed when the newest probe ends. The interval is shorter while not all shards can be covered.
func (p *prober) start(service *clementineport.ServiceTable, complete bool, run func()) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	name := service.Service.Name
	interval := p.fastInterval
	if complete {
		interval = p.interval
	}
	if last := p.lastProbe[name]; last != nil && now.Sub(last.began) < interval {
		return last.done
	}
	next := &probe{began: now, done: make(chan struct{})}
	p.lastProbe[name] = next
	go func() {
		defer close(next.done)
		run()
	}()
	return next.done
}

func (p *prober) requestID(vm clementineport.VMID) clementineport.RequestID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return clementineport.RequestID(fmt.Sprintf("probe-%s-%d", vm, p.sequence))
}

// probe calls targets with a snapshot that none holds; their refusals list the snapshots that they hold. It calls
// targets that have not reported any and, with recheckOutdated, those that have not reported the newest version.
func (e *Entry) probe(
	q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable, router *router, recheckOutdated bool,
) {
	now := e.opts.Clock.Now()
	targets := cpsnapshot.AppendUnknown(nil, service, view.Targets, now, e.opts.MaxProbeTargets)
	if recheckOutdated {
		targets = cpsnapshot.AppendOutdated(targets, service, view.Targets, now, e.opts.MaxProbeTargets)
	}
	ctx, cancel := context.WithTimeout(context.Background(), defaultProbeTimeout)
	defer cancel()
	id := e.prober.requestID(e.opts.Self.ID)
	calls := make([]clementineport.Call, len(targets))
	for i, t := range targets {
		view.Targets.Sent(t)
		calls[i] = clementineport.Call{
			Request:    id,
			Attempt:    clementineport.AttemptID(i + 1),
			Service:    q.Service,
			Class:      service.Service.Class,
			Index:      service.Service.Index,
			Shard:      firstShard(&view.Table.Targets[t]),
			Target:     view.Table.Targets[t].ID,
			Limit:      1,
			Deadline:   now.Add(defaultProbeTimeout),
			Idempotent: true,
		}
	}
	e.opts.Sender.Send(ctx, router, calls, func(r clementineport.CallResult) {
		view.Targets.Observe(targets[r.Attempt-1], e.opts.Clock.Now(), &r)
	})
	e.metrics.Probes.Add(len(calls))
}

func firstShard(t *clementineport.TargetRow) clementineport.ShardID {
	for _, h := range t.Holds {
		if len(h.Shards) > 0 {
			return h.Shards[0]
		}
	}
	return 0
}
