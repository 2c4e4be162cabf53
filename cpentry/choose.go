package cpentry

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsnapshot"
	"github.com/clementineport/clementineport/cpview"
)

// choose chooses the snapshot. While nothing is known it asks targets first. A service that prefers coverage
// also waits a little for what targets say when not every shard can be covered.
func (e *Entry) choose(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable, router *router,
) (cpsnapshot.Choice, error) {
	now := e.opts.Clock.Now()
	choice, ok := e.snapshots.Choose(service, view.Targets, now)
	whole := ok && choice.Covered == choice.Shards
	if whole && !choice.NeedsProbe && !choice.NewerExists {
		return choice, nil
	}
	again := !whole || choice.NewerExists
	ask := func() { e.probe(q, view, service, router, again) }
	name := service.Service.Name
	until := now
	if !whole {
		until = e.prober.waitUntil(name, now, e.probeUntil(now, q, service, ok))
	}
	waits := now.Before(until)
	if !waits {
		e.prober.start(service, whole, ask)
	}
	for !whole && now.Before(until) && ctx.Err() == nil {
		e.wait(ctx, e.prober.start(service, whole, ask), until.Sub(now))
		now = e.opts.Clock.Now()
		choice, ok = e.snapshots.Choose(service, view.Targets, now)
		whole = ok && choice.Covered == choice.Shards
	}
	if waits && ctx.Err() == nil {
		e.prober.waited(name, now, whole)
	}
	if !ok {
		return choice, &clementineport.Error{
			Fault:      clementineport.FaultUnavailable,
			Reason:     "no usable target has said which snapshots it holds",
			RetryAfter: e.opts.ProbeInterval,
		}
	}
	return choice, nil
}

// probeUntil returns until when a query waits for what targets say.
func (e *Entry) probeUntil(now time.Time, q *clementineport.Query, service *clementineport.ServiceTable, known bool) time.Time {
	share := now.Add(q.Deadline.Sub(now) / probeShare)
	switch {
	case !known:
		return share
	case service.Service.Prefer == clementineport.PreferCoverage && share.After(now.Add(e.opts.MaxProbeWait)):
		return now.Add(e.opts.MaxProbeWait)
	default:
		return now
	}
}

// wait waits for a probe to end, and then for the time before the next one.
func (e *Entry) wait(ctx context.Context, probed <-chan struct{}, most time.Duration) {
	end := e.opts.Clock.After(most)
	select {
	case <-probed:
	case <-end:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-e.opts.Clock.After(min(most, e.opts.FastProbeInterval)):
	case <-ctx.Done():
	}
}
