package cpadmit

import (
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// Measurement windows of the limit.
const (
	minWindow     = 100 * time.Millisecond
	maxWindow     = time.Second
	windowSamples = 40
)

// Steps of the limit and of the averages.
const (
	maxCut     = 0.7  // least factor of one cut
	shedShare  = 0.05 // share of shed answers that counts as overload
	shedCut    = 0.8
	quietShare = 0.5 // of the limit, below which the queries in progress are few
	weight     = 0.3 // of a window in the averages
)

// limit is the adaptive limit on queries in progress. It follows the time that calls spend outside their
// targets: while that exceeds the allowed queueing, the limit falls. Slow targets alone do not lower it.
type limit struct {
	opts  *Options
	value float64
	needs map[clementineport.ServiceID]float64 // smoothed seconds of a query without queueing

	started  time.Time
	samples  int
	answered int
	shed     int
	refused  int
	peak     int // queries in progress
	limited  bool
	class    clementineport.Class // lowest class that the limit kept waiting
	elapsed  float64              // seconds of the answers of this window
	queued   float64              // seconds of them that were queueing

	latency  float64 // smoothed seconds of an answer
	delay    float64 // smoothed seconds of queueing of an answer
	refusals float64 // smoothed refusals a second
	rate     float64 // smoothed completions a second
}

func newLimit(o *Options) *limit {
	return &limit{opts: o, value: float64(o.InitialLimit), needs: make(map[clementineport.ServiceID]float64)}
}

// full records that the limit keeps a query of a class waiting.
func (l *limit) full(c clementineport.Class) {
	if !l.limited || c < l.class {
		l.class = c
	}
	l.limited = true
}

// sample records the end of a query.
func (l *limit) sample(now time.Time, id clementineport.ServiceID, elapsed time.Duration, o Outcome) {
	l.samples++
	switch {
	case o.Shed:
		l.shed++
	case !o.Failed:
		queued := min(max(o.Queued, 0), elapsed)
		l.answered++
		l.elapsed += elapsed.Seconds()
		l.queued += queued.Seconds()
		l.needs[id] = smooth(l.needs[id], (elapsed - queued).Seconds(), weight/windowSamples)
	}
	l.tick(now)
}

// tick closes the window when it is long enough.
func (l *limit) tick(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
	length := now.Sub(l.started)
	if length < minWindow || (l.samples < windowSamples && length < maxWindow) {
		return
	}
	if l.answered > 0 {
		l.latency = smooth(l.latency, l.elapsed/float64(l.answered), weight)
		l.delay += weight * (l.queued/float64(l.answered) - l.delay)
	}
	l.refusals += weight * (float64(l.refused)/length.Seconds() - l.refusals)
	l.rate += weight * (float64(l.samples)/length.Seconds() - l.rate)
	l.adjust()
	l.started, l.limited = now, false
	l.samples, l.answered, l.shed, l.refused, l.peak = 0, 0, 0, 0, 0
	l.elapsed, l.queued = 0, 0
}

// adjust moves the limit by one step. After a cut, the averages assume that it had its effect.
func (l *limit) adjust() {
	service := l.latency - l.delay
	allowed := max(l.opts.QueueDelayShare*service, l.opts.MinQueueDelay.Seconds())
	if l.limited {
		allowed *= l.opts.ClassQueueDelayShare[l.class]
	}
	switch {
	case !l.limited && float64(l.peak) < quietShare*l.value:
		// The limit is not what lets the queries queue or be shed.
	case float64(l.shed) > shedShare*float64(l.samples):
		l.value *= shedCut
	case l.delay > allowed:
		l.value *= max((service+allowed)/l.latency, maxCut)
		l.delay, l.latency = allowed, service+allowed
	case l.limited:
		l.value += (1 - l.delay/allowed) * max(math.Sqrt(l.value)/2, 1)
	}
	l.value = min(max(l.value, float64(l.opts.MinLimit)), float64(l.opts.MaxLimit))
}

// smooth moves an average towards a value; the first value becomes the average.
func smooth(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}
