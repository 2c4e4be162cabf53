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
func (f *Watcher) Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	began := f.options.Clock.Now()
	for {
		heard := f.heardOf.Load()
		news, err := f.changesSince(ctx, have)
		if err != nil {
			return nil, err
		}
		waited := f.options.Clock.Now().Sub(began)
		if have == 0 || news.HasChanges() || news.AsOf >= have && news.Age < waited {
			news.Age -= waited
			return encodeNews(news)
		}
		left := f.options.MaxServedAge() - max(news.Age, waited)
		if left <= 0 {
			return nil, clementineport.Fail(clementineport.FaultStale, "the store was last heard %v ago", news.Age)
		}
		if err := f.await(ctx, *heard, left); err != nil {
			return nil, err
		}
	}
}

// changesSince asks the loop for what has changed after a revision.
func (f *Watcher) changesSince(ctx context.Context, have clementineport.Revision) (*clementineport.FleetUpdate, error) {
	answer := make(chan *clementineport.FleetUpdate, 1)
	f.send(ctx, func(_ context.Context, f *Watcher, now time.Time) {
		news, known := f.history.Since(have)
		switch {
		case have > 0 && have >= f.catalog.AsOf():
			news = &clementineport.FleetUpdate{AsOf: f.catalog.AsOf()}
		case have == 0 || !known:
			news = f.catalog.FullUpdate(now)
		}
		news.Age = now.Sub(f.catalog.Confirmed())
		answer <- news
	})
	select {
	case news := <-answer:
		return news, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
}

// await waits for news or for a time to pass.
func (f *Watcher) await(ctx context.Context, heard <-chan struct{}, d time.Duration) error {
	select {
	case <-heard:
	case <-f.options.Clock.After(max(d, time.Millisecond)):
	case <-ctx.Done():
		return clementineport.Fail(clementineport.FaultCanceled, "news given up: %v", ctx.Err())
	}
	return nil
}

// announce wakes those that wait for news.
func (f *Watcher) announce() {
	next := make(chan struct{})
	close(*f.heardOf.Swap(&next))
}

// encodeNews wraps news as the peers' message for a configuration.
func encodeNews(news *clementineport.FleetUpdate) (*clementineport.Config, error) {
	if news.Whole && news.Routes == nil {
		return nil, nil
	}
	text, err := json.Marshal(news)
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInternal, Reason: "encode news", Err: err}
	}
	return &clementineport.Config{Revision: news.AsOf, Text: text}, nil
}

// decodeNews reads news from the peers' message for a configuration.
func decodeNews(cfg *clementineport.Config) (*clementineport.FleetUpdate, error) {
	if cfg == nil {
		return nil, errNoNews
	}
	news := &clementineport.FleetUpdate{}
	if err := json.Unmarshal(cfg.Text, news); err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode news", Err: err}
	}
	return news, nil
}

// EncodeMessage and DecodeMessage are the codec of the peers' message for a configuration.
func EncodeConfig(cfg *clementineport.Config) ([]byte, error) { return cfg.Text, nil }

// DecodeMessage reverses EncodeMessage.
func DecodeConfig(text []byte) (*clementineport.Config, error) {
	return &clementineport.Config{Text: text}, nil
}
