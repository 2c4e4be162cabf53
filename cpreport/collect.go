package cpreport

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementineport/clementineport"
)

// Limits of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
)

// Significant digits of the histograms of series and of single seconds.
const (
	seriesDigits = 3
	secondDigits = 2
)

// Quantiles of the report, in per cent.
const (
	median  = 50
	tail    = 99
	farTail = 99.9
	maximum = 100
)

type seriesKey struct {
	service clementineport.ServiceID
	policy  string
}

type secondKey struct {
	second int
	policy string
}

// tally counts the results of one series or one second.
type tally struct {
	latency  *hdrhistogram.Histogram
	failed   *hdrhistogram.Histogram
	sent     int
	answered int
	refused  int
	complete int
	coverage float64
	lowest   float64
	verdicts map[string]int
	faults   map[string]int
	stats    clementineport.GatherStats
	wrong    int
	first    string
}

// Collector gathers results; it may be used from many goroutines.
type Collector struct {
	mu      sync.Mutex
	series  map[seriesKey]*tally
	seconds map[secondKey]*tally
}

// NewCollector returns a collector without results.
func NewCollector() *Collector {
	return &Collector{series: make(map[seriesKey]*tally), seconds: make(map[secondKey]*tally)}
}

// Add records one result.
func (c *Collector) Add(r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	series := seriesKey{r.Service, r.Policy}
	if c.series[series] == nil {
		c.series[series] = newTally(seriesDigits)
	}
	c.series[series].add(r)
	second := secondKey{int(r.Due / time.Second), r.Policy}
	if c.seconds[second] == nil {
		c.seconds[second] = newTally(secondDigits)
	}
	c.seconds[second].add(r)
}

// Report returns the report of the results so far; the caller fills in the settings of the run.
func (c *Collector) Report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := new(Report)
	for key, t := range c.series {
		report.Series = append(report.Series, t.series(key))
	}
	for key, t := range c.seconds {
		report.Timeline = append(report.Timeline, t.second(key))
	}
	slices.SortFunc(report.Series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Policy, b.Policy))
	})
	slices.SortFunc(report.Timeline, func(a, b Second) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Policy, b.Policy))
	})
	return report
}

func newTally(digits int) *tally {
	return &tally{
		latency:  hdrhistogram.New(lowestMicros, highestMicros, digits),
		failed:   hdrhistogram.New(lowestMicros, highestMicros, digits),
		lowest:   1,
		verdicts: make(map[string]int),
		faults:   make(map[string]int),
	}
}

func (t *tally) add(r *Result) {
	t.sent++
	if r.Err != nil {
		t.addError(r)
		return
	}
	t.answered++
	record(t.latency, r.Latency)
	t.verdicts[r.Answer.Verdict.String()]++
	coverage := 1.0
	if r.Answer.Shards > 0 {
		coverage = float64(len(r.Answer.Covered)) / float64(r.Answer.Shards)
	}
	t.coverage += coverage
	t.lowest = min(t.lowest, coverage)
	if r.Answer.Complete {
		t.complete++
	}
	t.stats.Calls += r.Answer.Stats.Calls
	t.stats.Hedges += r.Answer.Stats.Hedges
	t.stats.Retries += r.Answer.Stats.Retries
	t.stats.Resends += r.Answer.Stats.Resends
	t.stats.Restarts += r.Answer.Stats.Restarts
	t.stats.Late += r.Answer.Stats.Late
	if r.CheckErr != nil {
		t.addWrong(r.CheckErr)
	}
}

func (t *tally) addError(r *Result) {
	record(t.failed, r.Latency)
	fault := clementineport.FaultOf(r.Err)
	t.verdicts[fault.Verdict().String()]++
	t.faults[fault.String()]++
	if fault.Verdict() == clementineport.NotRun {
		t.refused++
	}
}

func (t *tally) addWrong(err error) {
	t.wrong++
	if t.first == "" {
		t.first = err.Error()
	}
}

func (t *tally) series(key seriesKey) Series {
	return Series{
		Service:       key.service,
		Policy:        key.policy,
		Sent:          t.sent,
		Answered:      t.answered,
		Failed:        t.sent - t.answered,
		Latency:       latency(t.latency),
		FailedLatency: latency(t.failed),
		Coverage: Coverage{
			Mean:     share(t.coverage, t.answered),
			Min:      t.lowest,
			Complete: share(float64(t.complete), t.answered),
		},
		Verdicts:   t.verdicts,
		Faults:     t.faults,
		Stats:      t.stats,
		ExtraLoad:  ExtraLoad(t.stats),
		Wrong:      t.wrong,
		FirstWrong: t.first,
	}
}

func (t *tally) second(key secondKey) Second {
	quantiles := latency(t.latency)
	return Second{
		Second:    key.second,
		Policy:    key.policy,
		Sent:      t.sent,
		Answered:  t.answered,
		Refused:   t.refused,
		Failed:    t.sent - t.answered,
		P50Millis: quantiles.P50Millis,
		P99Millis: quantiles.P99Millis,
		Coverage:  share(t.coverage, t.answered),
		ExtraLoad: ExtraLoad(t.stats),
	}
}

// ExtraLoad returns the number of hedges and retries for each ordinary call; calls sent again after a refusal
// that did not run put no load on targets.
func ExtraLoad(s clementineport.GatherStats) float64 {
	extra := s.Hedges + s.Retries
	return share(float64(extra), s.Calls-extra-s.Resends)
}

func latency(h *hdrhistogram.Histogram) Latency {
	millis := func(percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
	}
	return Latency{
		P50Millis:  millis(median),
		P99Millis:  millis(tail),
		P999Millis: millis(farTail),
		MaxMillis:  millis(maximum),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func share(part float64, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return part / float64(whole)
}
