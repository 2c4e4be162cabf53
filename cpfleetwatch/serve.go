package cpfleetwatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/clementineport/clementineport"
)

// Config implements cppeer.Handler. It returns the changes after the position have, and waits until there is a change or the store
// has confirmed, since shortly before the call, that there is none. For revision zero it returns the full state at once. It fails
// when this VM has not heard from the store for MaxServedAge, or knows only an earlier era of it, so that the caller can turn to
// the store instead. It also fails when this VM gets its own updates from another one: with each VM in between, a change would
// take longer to come into force.
func (w *Watcher) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	began := w.options.Clock.Now()
	pause := w.options.WatchPeriod / upstreamPollFactor
	lastCall := began.Add(-pause) // when the caller probably called before
	for {
		signal := w.updated.Load()
		update, news, err := w.changesSince(ctx, have, lastCall)
		if err != nil {
			return nil, err
		}
		if source := *w.source.Load(); source != storeSource && !update.HasChanges() {
			return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM gets its updates from %s itself", source)
		}
		waited := w.options.Clock.Now().Sub(began)
		if have.Revision == 0 || update.HasChanges() || news || !update.AsOf.Before(have) && update.Age < waited+pause {
			update.Age -= waited
			return encodeUpdate(update)
		}
		left := w.options.MaxServedAge() - max(update.Age, waited)
		if left <= 0 {
			return nil, clementineport.Fail(clementineport.FaultStale, "the store was last heard %v ago", update.Age)
		}
		if err := w.waitForUpdate(ctx, *signal, left); err != nil {
			return nil, err
		}
	}
}

// changesSince gets the changes after a position from the loop, or the full state when they are no longer kept. news
// reports whether this VM learned something about a target after a time.
func (w *Watcher) changesSince(ctx context.Context, have clementineport.StorePosition, after time.Time) (_ *clementineport.FleetUpdate, news bool, _ error) {
	type changes struct {
		update *clementineport.FleetUpdate
		news   bool
	}
	answer := make(chan changes, 1)
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) {
		update, ok := w.history.Since(have)
		switch {
		case have.Revision > 0 && !have.Before(w.catalog.AsOf()):
			update = &clementineport.FleetUpdate{AsOf: w.catalog.AsOf()}
		case have.Revision == 0 || !ok:
			update = w.catalog.FullUpdate(now)
		}
		update.Age = now.Sub(w.catalog.Confirmed())
		update.TargetNews = w.news(now, "", update.Whole)
		sinceCall := w.newsSince(now, after)
		answer <- changes{update, sinceCall.Any()}
	})
	select {
	case c := <-answer:
		if update := c.update; have.Revision > 0 && update.AsOf.Era < have.Era {
			return nil, false, clementineport.Fail(clementineport.FaultStale, "the store was restored after %v", update.AsOf)
		}
		return c.update, c.news, nil
	case <-ctx.Done():
		return nil, false, clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
}

// waitForUpdate waits for the next update, for d at most.
func (w *Watcher) waitForUpdate(ctx context.Context, updated <-chan struct{}, d time.Duration) error {
	select {
	case <-updated:
	case <-w.options.Clock.After(max(d, time.Millisecond)):
	case <-ctx.Done():
		return clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
	return nil
}

// notifyWaiters wakes the callers of waitForUpdate.
func (w *Watcher) notifyWaiters() {
	next := make(chan struct{})
	close(*w.updated.Swap(&next))
}

// encodeUpdate encodes an update as a Config, the message that peers exchange. It returns nil before there are routes.
func encodeUpdate(update *clementineport.FleetUpdate) (*clementineport.Config, error) {
	if update.Whole && update.Routes == nil {
		return nil, nil
	}
	text, err := json.Marshal(&wireUpdate{
		Format: updateFormat, Era: update.AsOf.Era, AsOf: update.AsOf.Revision, FleetUpdate: update,
	})
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInternal, Reason: "encode news", Err: err}
	}
	return &clementineport.Config{Revision: update.AsOf.Revision, Text: text}, nil
}

// updateFormat is the format of the updates that this build sends. It rises when what an update of an earlier build lacks must
// not be taken to be absent. Format 1 has workspaces and rollouts.
const updateFormat = 1

// wireUpdate is an update as VMs exchange it. Earlier builds know only the revision of its position, and state no format.
type wireUpdate struct {
	Format int                     `json:",omitempty"`
	Era    clementineport.StoreEra `json:",omitempty"`
	AsOf   clementineport.Revision
	*clementineport.FleetUpdate
}

// decodeUpdate decodes an update from a Config.
func decodeUpdate(cfg *clementineport.Config) (*clementineport.FleetUpdate, error) {
	if cfg == nil {
		return nil, errNoRoutes
	}
	wire := wireUpdate{FleetUpdate: &clementineport.FleetUpdate{}}
	if err := json.Unmarshal(cfg.Text, &wire); err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode news", Err: err}
	}
	if wire.Format < updateFormat {
		return nil, clementineport.Fail(clementineport.FaultMalformed, "the update has format %d, needed is %d", wire.Format, updateFormat)
	}
	wire.FleetUpdate.AsOf = clementineport.StorePosition{Era: wire.Era, Revision: wire.AsOf}
	return wire.FleetUpdate, nil
}

// EncodeConfig encodes a Config for the peer protocol; its text is the encoded update.
func EncodeConfig(cfg *clementineport.Config) ([]byte, error) { return cfg.Text, nil }

// DecodeConfig is the inverse of EncodeConfig. It doesn't set the revision, which is part of the encoded update.
func DecodeConfig(text []byte) (*clementineport.Config, error) {
	return &clementineport.Config{Text: text}, nil
}
