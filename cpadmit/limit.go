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
	windowSamples = 20
)

// Steps of the limit and of the averages.
const (
	maxCut        = 0.7  // least factor of one cut
	shedShare     = 0.05 // share of shed answers that counts as overload
	shedCut       = 0.8
	ratioWeight   = 0.3
	fallWeight    = 0.3  // of a lower latency without load
	riseWeight    = 0.05 // of a higher one
	resetCut      = 0.5  // share of the limit after which cuts must have shown an effect
	resetLatency  = 0.8  // share of the latency that a cut must have reached
	quietShare    = 0.5  // share of the limit below which latency counts as latency without load
	floorRise     = 0.3
	initialWeight = 1.0
)

// service is what is known of the latency of one service.
type service struct {
	base  float64 // seconds without load; 0 is unknown
	sum   float64 // seconds in this window
	count int
}

// limit is the adaptive limit on queries in progress. It follows the latency: while queries take longer
// than without load, work queues behind this VM and the limit falls.
type limit struct {
	opts     *Options
	value    float64
	services map[clementineport.ServiceID]*service

	started  time.Time
	samples  int
	shed     int
	peak     int
	limited  bool
	refused  int
	ratio    float64 // smoothed latency over latency without load
	latency  float64 // smoothed mean latency in seconds
	refusals float64 // smoothed refusals a second
	rate     float64 // smoothed completions a second
	cutFrom  float64 // limit before the present run of cuts
	cutRatio float64 // ratio before the present run of cuts
}

func newLimit(o *Options) *limit {
	return &limit{
		opts:     o,
		value:    float64(o.InitialLimit),
		services: make(map[clementineport.ServiceID]*service),
		ratio:    initialWeight,
	}
}

// sample records the end of a query.
func (l *limit) sample(now time.Time, id clementineport.ServiceID, elapsed time.Duration, o Outcome) {
	s := l.services[id]
	if s == nil {
		s = new(service)
		l.services[id] = s
	}
	if o == OutcomeShed {
		l.shed++
	}
	if o == OutcomeAnswered || (o == OutcomeFailed && elapsed.Seconds() > s.base) {
		s.sum += elapsed.Seconds()
		s.count++
	}
	l.samples++
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
	l.measure(length)
	l.adjust()
	l.started = now
	l.samples, l.shed, l.peak, l.refused, l.limited = 0, 0, 0, 0, false
}

// measure updates the averages from the window.
func (l *limit) measure(length time.Duration) {
	quiet := !l.limited && float64(l.peak) < quietShare*l.value
	floor := l.value <= float64(l.opts.MinLimit)
	var sum, base float64
	var count int
	for _, s := range l.services {
		if s.count == 0 {
			continue
		}
		mean := s.sum / float64(s.count)
		s.learn(mean, quiet, floor)
		sum += s.sum
		base += s.base * float64(s.count)
		count += s.count
		s.sum, s.count = 0, 0
	}
	if base > 0 {
		l.ratio += ratioWeight * (sum/base - l.ratio)
		l.latency += ratioWeight * (sum/float64(count) - l.latency)
	}
	l.refusals += ratioWeight * (float64(l.refused)/length.Seconds() - l.refusals)
	l.rate += ratioWeight * (float64(l.samples)/length.Seconds() - l.rate)
}

// learn follows the latency without load: down at once, up only when this VM is not the cause.
func (s *service) learn(mean float64, quiet, floor bool) {
	switch {
	case s.base == 0:
		s.base = mean
	case mean < s.base:
		s.base += fallWeight * (mean - s.base)
	case floor:
		s.base += floorRise * (mean - s.base)
	case quiet:
		s.base += riseWeight * (mean - s.base)
	}
}

// adjust moves the limit by one step.
func (l *limit) adjust() {
	switch {
	case float64(l.shed) > shedShare*float64(l.samples):
		l.cut(shedCut)
	case l.ratio > l.opts.Tolerance:
		l.cut(max(l.opts.Tolerance/l.ratio, maxCut))
	default:
		l.cutFrom = 0
		if l.limited {
			l.value += max(math.Sqrt(l.value)/2, 1)
		}
	}
	l.value = min(max(l.value, float64(l.opts.MinLimit)), float64(l.opts.MaxLimit))
}

// cut lowers the limit. When a run of cuts has halved the limit and the latency has not followed, the load
// of this VM is not the cause: the present latency becomes the latency without load.
func (l *limit) cut(factor float64) {
	if l.cutFrom == 0 {
		l.cutFrom, l.cutRatio = l.value, l.ratio
	}
	l.value *= factor
	if l.shed > 0 || l.value > resetCut*l.cutFrom {
		return
	}
	if l.ratio > resetLatency*l.cutRatio {
		for _, s := range l.services {
			s.base *= l.ratio
		}
		l.value = l.cutFrom
		l.ratio = 1
	}
	l.cutFrom = 0
}
