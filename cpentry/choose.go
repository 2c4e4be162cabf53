package cpentry

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsnapshot"
	"github.com/clementineport/clementineport/cpview"
)

// chooseSnapshot chooses the snapshot of a query. If no target has reported its snapshots, it probes targets first
// and waits for their responses. For a service that prefers coverage, it also waits for up to MaxProbeWait if not
// every shard can be covered.
func (e *Entry) chooseSnapshot(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable, router *router,
) (cpsnapshot.Choice, error) {
	now := e.opts.Clock.Now()
	choice, ok := e.snapshots.Choose(service, view.Targets, now)
	complete := ok && choice.Covered == choice.Shards
	if complete && !choice.NeedsProbe && !choice.NewerExists {
		return choice, nil
	}
	recheck := !complete || choice.NewerExists
	runProbe := func() { e.probe(q, view, service, router, recheck) }
	name := service.Service.Name
	waitEnd := now
	if !complete {
		waitEnd = e.prober.waitDeadline(name, now, e.probeWaitEnd(now, q, service, ok))
	}
	waiting := now.Before(waitEnd)
	if !waiting {
		e.prober.start(service, complete, runProbe)
	}
	for !complete && now.Before(waitEnd) && ctx.Err() == nil {
		e.waitForProbe(ctx, e.prober.start(service, complete, runProbe), waitEnd.Sub(now))
		now = e.opts.Clock.Now()
		choice, ok = e.snapshots.Choose(service, view.Targets, now)
		complete = ok && choice.Covered == choice.Shards
	}
	if waiting && ctx.Err() == nil {
		e.prober.recordWait(name, now, complete)
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

// probeWaitEnd returns until when a query waits for responses to probes; known is whether a snapshot can be chosen
// already. If one can be, only a query of a service that prefers coverage waits, and only if MaxProbeWait is less than
// a quarter of its remaining time.
func (e *Entry) probeWaitEnd(now time.Time, q *clementineport.Query, service *clementineport.ServiceTable, known bool) time.Time {
	share := now.Add(q.Deadline.Sub(now) / probeWaitDivisor)
	switch {
	case !known:
		return share
	case service.Service.Prefer == clementineport.PreferCoverage && share.After(now.Add(e.opts.MaxProbeWait)):
		return now.Add(e.opts.MaxProbeWait)
	default:
		return now
	}
}

// waitForProbe waits until a probe has ended and the next one may start, or for maxWait if the probe takes longer. It
// returns early if ctx is done.
func (e *Entry) waitForProbe(ctx context.Context, probed <-chan struct{}, maxWait time.Duration) {
	timeout := e.opts.Clock.After(maxWait)
	select {
	case <-probed:
	case <-timeout:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-e.opts.Clock.After(min(maxWait, e.opts.FastProbeInterval)):
	case <-ctx.Done():
	}
}
