// Package cplatency keeps the latencies of recent answers and computes their quantiles. It reads no clock; callers
// pass in the time of each sample.
package cplatency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestMicros = 50 // microseconds
	// highestMicros is longer than any deadline. Higher latencies are recorded as this value.
	highestMicros     = 60_000_000 // microseconds
	significantDigits = 2
)

// Window holds the samples of the current and the previous span. It is safe for concurrent use.
type Window struct {
	options Options

	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	spanStart time.Time
	// typical and high are the quantiles at the last refresh.
	typical, high time.Duration
	newSamples    int
}

// New returns a window without samples.
func New(opts ...Option) *Window {
	return &Window{
		options:  NewOptions(opts...),
		current:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		previous: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

// Add records the latency of one answer.
func (w *Window) Add(now time.Time, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	// Clamped values are always in range.
	_ = w.current.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
	w.newSamples++
	if w.newSamples >= w.options.RefreshSamples || w.typical == 0 {
		w.refresh()
	}
}

// rotate starts a new span if the current one has ended.
func (w *Window) rotate(now time.Time) {
	if w.spanStart.IsZero() {
		w.spanStart = now
	}
	if now.Sub(w.spanStart) < w.options.Span {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.spanStart = now
}

// refresh computes the quantiles from the span with more samples, because a new span with few samples is not
// representative.
func (w *Window) refresh() {
	w.newSamples = 0
	h := w.current
	if w.previous.TotalCount() > h.TotalCount() {
		h = w.previous
	}
	w.typical = time.Duration(h.ValueAtQuantile(w.options.TypicalQuantile)) * time.Microsecond
	w.high = time.Duration(h.ValueAtQuantile(w.options.HighQuantile)) * time.Microsecond
}

// Typical returns the latency at TypicalQuantile, by default the median, or zero without samples.
func (w *Window) Typical() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.typical
}

// High returns the latency at HighQuantile, or zero without samples.
func (w *Window) High() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.high
}
