package cpfleetwatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/clementineport/clementineport"
)

// Config implements cppeer.Handler. It returns what has changed after a revision, as soon as there is something or the
// store has said that there is nothing; or everything, at once, when the revision is zero. A VM that has lost the store
// itself does not let others wait.
func (w *Watcher) Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	began := w.options.Clock.Now()
	for {
		signal := w.updated.Load()
		update, err := w.changesSince(ctx, have)
		if err != nil {
			return nil, err
		}
		waited := w.options.Clock.Now().Sub(began)
		if have == 0 || update.HasChanges() || update.AsOf >= have && update.Age < waited {
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

// changesSince asks the loop for what has changed after a revision.
func (w *Watcher) changesSince(ctx context.Context, have clementineport.Revision) (*clementineport.FleetUpdate, error) {
	answer := make(chan *clementineport.FleetUpdate, 1)
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) {
		update, ok := w.history.Since(have)
		switch {
		case have > 0 && have >= w.catalog.AsOf():
			update = &clementineport.FleetUpdate{AsOf: w.catalog.AsOf()}
		case have == 0 || !ok:
			update = w.catalog.FullUpdate(now)
		}
		update.Age = now.Sub(w.catalog.Confirmed())
		answer <- update
	})
	select {
	case update := <-answer:
		return update, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
}

// await waits for news or for a time to pass.
func (w *Watcher) waitForUpdate(ctx context.Context, updated <-chan struct{}, d time.Duration) error {
	select {
	case <-updated:
	case <-w.options.Clock.After(max(d, time.Millisecond)):
	case <-ctx.Done():
		return clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
	return nil
}

// announce wakes those that wait for news.
func (w *Watcher) notifyWaiters() {
	next := make(chan struct{})
	close(*w.updated.Swap(&next))
}

// encodeNews wraps news as the peers' message for a configuration.
func encodeUpdate(update *clementineport.FleetUpdate) (*clementineport.Config, error) {
	if update.Whole && update.Routes == nil {
		return nil, nil
	}
	text, err := json.Marshal(update)
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInternal, Reason: "encode news", Err: err}
	}
	return &clementineport.Config{Revision: update.AsOf, Text: text}, nil
}

// decodeNews reads news from the peers' message for a configuration.
func decodeUpdate(cfg *clementineport.Config) (*clementineport.FleetUpdate, error) {
	if cfg == nil {
		return nil, errNoRoutes
	}
	update := &clementineport.FleetUpdate{}
	if err := json.Unmarshal(cfg.Text, update); err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode news", Err: err}
	}
	return update, nil
}

// EncodeMessage and DecodeMessage are the codec of the peers' message for a configuration.
func EncodeConfig(cfg *clementineport.Config) ([]byte, error) { return cfg.Text, nil }

// DecodeMessage reverses EncodeMessage.
func DecodeConfig(text []byte) (*clementineport.Config, error) {
	return &clementineport.Config{Text: text}, nil
}
