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

// prober runs at most one probe of a service at a time, and not too often.
type prober struct {
	clock    clementineport.Clock
	interval time.Duration
	pause    time.Duration
	mu       sync.Mutex
	probes   map[clementineport.ServiceID]*probe
	futile   map[clementineport.ServiceID]time.Time
	sequence uint64
}

type probe struct {
	began time.Time
	done  chan struct{}
}

// waitUntil returns until when a query may wait for a probe. After a wait that did not help, none is made for
// an interval, so that a lasting loss of shards costs few queries a wait.
func (p *prober) waitUntil(service clementineport.ServiceID, now, until time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.futile[service]) < p.interval {
		return now
	}
	return until
}

// waited records whether a wait helped.
func (p *prober) waited(service clementineport.ServiceID, now time.Time, helped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if helped {
		delete(p.futile, service)
		return
	}
	p.futile[service] = now
}

func newProber(o *Options) *prober {
	return &prober{
		clock:    o.Clock,
		interval: o.ProbeInterval,
		pause:    o.FastProbeInterval,
		probes:   make(map[clementineport.ServiceID]*probe),
		futile:   make(map[clementineport.ServiceID]time.Time),
	}
}

// start runs f unless the service was probed shortly before; the channel closes when the probe ends. While
// not all shards can be covered, probes follow each other sooner.
func (p *prober) start(service *clementineport.ServiceTable, whole bool, f func()) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	name := service.Service.Name
	interval := p.pause
	if whole {
		interval = p.interval
	}
	if last := p.probes[name]; last != nil && now.Sub(last.began) < interval {
		return last.done
	}
	next := &probe{began: now, done: make(chan struct{})}
	p.probes[name] = next
	go func() {
		defer close(next.done)
		f()
	}()
	return next.done
}

func (p *prober) requestID(vm clementineport.VMID) clementineport.RequestID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	return clementineport.RequestID(fmt.Sprintf("probe-%s-%d", vm, p.sequence))
}

// probe asks targets for a snapshot that none holds; their refusals say what they do hold.
// With again, targets that have not said that they hold the newest version are asked once more.
func (e *Entry) probe(
	q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable, router *router, again bool,
) {
	now := e.opts.Clock.Now()
	targets := cpsnapshot.AppendUnknown(nil, service, view.Targets, now, e.opts.MaxProbeTargets)
	if again {
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
