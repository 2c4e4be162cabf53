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
	baseSamples   = 100 // to learn the latency without load from
)

// Steps of the limit and of the averages.
const (
	maxCut        = 0.7  // least factor of one cut
	shedShare     = 0.05 // share of shed answers that counts as overload
	shedCut       = 0.8
	ratioWeight   = 0.3
	baseWeight    = 0.3 // of a measured latency without load
	quietShare    = 0.5 // share of the limit below which latency counts as latency without load
	floorShare    = 0.5 // of the limit at which a run of cuts began
	initialWeight = 1.0
)

// service is what is known of the latency of one service.
type service struct {
	base  float64 // seconds without load; 0 is unknown
	sum   float64 // seconds in this window
	count int
	// longSum and longCount add up windows until they are enough to learn from.
	longSum   float64
	longCount int
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
	top      float64 // limit before the present run of cuts
	ratio    float64 // smoothed latency over latency without load
	latency  float64 // smoothed mean latency in seconds
	refusals float64 // smoothed refusals a second
	rate     float64 // smoothed completions a second
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
	quiet := !l.limited && float64(l.peak) < quietShare*l.value
	l.measure(length, quiet)
	l.adjust(quiet)
	l.started = now
	l.samples, l.shed, l.peak, l.refused, l.limited = 0, 0, 0, 0, false
}

// measure updates the averages from the window.
func (l *limit) measure(length time.Duration, quiet bool) {
	floor := l.value <= l.floor()
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

// learn follows the latency without load: down whenever it is lower over enough queries, up only when this VM
// is not the cause of a higher one.
func (s *service) learn(mean float64, quiet, floor bool) {
	s.longSum += mean * float64(s.count)
	s.longCount += s.count
	switch {
	case s.base == 0:
		s.base = mean
	case floor && mean > s.base:
		s.base = mean
		s.longSum, s.longCount = 0, 0
	case s.longCount >= baseSamples:
		long := s.longSum / float64(s.longCount)
		if long < s.base || quiet {
			s.base += baseWeight * (long - s.base)
		}
		s.longSum, s.longCount = 0, 0
	}
}

// adjust moves the limit by one step.
func (l *limit) adjust(quiet bool) {
	switch {
	case float64(l.shed) > shedShare*float64(l.samples):
		l.value *= shedCut
	case quiet:
	case l.ratio > l.opts.Tolerance:
		l.cut()
	case l.limited:
		l.top = 0
		room := (l.opts.Tolerance - l.ratio) / (l.opts.Tolerance - 1)
		l.value += min(room, 1) * max(math.Sqrt(l.value)/2, 1)
	}
	l.value = min(max(l.value, float64(l.opts.MinLimit)), float64(l.opts.MaxLimit))
}

// cut lowers the limit, but in one run of cuts not below a share of where it began: a latency that does not
// fall with the limit is learned as the latency without load. As the share times the tolerance is below one,
// the limit falls from run to run as long as queries do queue.
func (l *limit) cut() {
	if l.top == 0 {
		l.top = l.value
	}
	l.value = max(l.value*max(l.opts.Tolerance/l.ratio, maxCut), l.floor())
	l.ratio = l.opts.Tolerance
}

// floor returns the limit that the present run of cuts ends at.
func (l *limit) floor() float64 { return max(l.top*floorShare, float64(l.opts.MinLimit)) }
