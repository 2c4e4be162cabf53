// Package cplatency keeps how long answers have taken lately and tells their quantiles. It reads no clock: the
// time of each sample is passed in.
package cplatency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	lowest = 50 // microseconds
	// highest is beyond every deadline; longer times count as this.
	highest = 60_000_000 // microseconds
	digits  = 2
)

// Window holds the samples of the last two spans. Its methods may be called from many goroutines.
type Window struct {
	options Options

	mu      sync.Mutex
	current *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
	began   time.Time
	// usual and high are the quantiles of the samples up to the last refresh.
	usual, high time.Duration
	fresh       int
}

// New returns a window without samples.
func New(opts ...Option) *Window {
	return &Window{
		options: NewOptions(opts...),
		current: hdrhistogram.New(lowest, highest, digits),
		last:    hdrhistogram.New(lowest, highest, digits),
	}
}

// Add records one answer.
func (w *Window) Add(now time.Time, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll(now)
	// Clamped values are always in range.
	_ = w.current.RecordValue(min(max(d.Microseconds(), lowest), highest))
	w.fresh++
	if w.fresh >= w.options.RefreshSamples || w.usual == 0 {
		w.refresh()
	}
}

// roll begins a new span when the current one is over.
func (w *Window) roll(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	if now.Sub(w.began) < w.options.Span {
		return
	}
	w.current, w.last = w.last, w.current
	w.current.Reset()
	w.began = now
}

// refresh computes the quantiles from the larger of the two spans, so that a new span with few samples does not
// decide alone.
func (w *Window) refresh() {
	w.fresh = 0
	h := w.current
	if w.last.TotalCount() > h.TotalCount() {
		h = w.last
	}
	w.usual = time.Duration(h.ValueAtQuantile(w.options.TypicalQuantile)) * time.Microsecond
	w.high = time.Duration(h.ValueAtQuantile(w.options.HighQuantile)) * time.Microsecond
}

// Typical returns the time within which about half of the answers came, or zero without samples.
func (w *Window) Typical() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usual
}

// High returns the time within which most answers came, or zero without samples.
func (w *Window) High() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.high
}
