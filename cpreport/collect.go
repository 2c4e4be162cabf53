package cpreport

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementineport/clementineport"
)

// Range of the histograms, in microseconds.
const (
	minMicros = 1
	maxMicros = 120_000_000
)

// Significant digits of the histograms of a series and of one second.
const (
	seriesDigits = 3
	secondDigits = 2
)

// Percentiles of the report.
const (
	p50     = 50
	p99     = 99
	p999    = 99.9
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

// tally sums up the results of one series or one second.
type tally struct {
	answerLatency  *hdrhistogram.Histogram
	failureLatency *hdrhistogram.Histogram
	sent           int
	answered       int
	refused        int
	complete       int
	sumCoverage    float64
	minCoverage    float64
	verdicts       map[string]int
	faults         map[string]int
	stats          clementineport.GatherStats
	wrong          int
	firstWrong     string
}

// Collector collects results into a report. It is safe for concurrent use.
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

// Report returns the report of the results so far. The fields for the settings of the run are left to be set by the
// caller.
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
		answerLatency:  hdrhistogram.New(minMicros, maxMicros, digits),
		failureLatency: hdrhistogram.New(minMicros, maxMicros, digits),
		minCoverage:    1,
		verdicts:       make(map[string]int),
		faults:         make(map[string]int),
	}
}

func (t *tally) add(r *Result) {
	t.sent++
	if r.Err != nil {
		t.addError(r)
		return
	}
	t.answered++
	recordLatency(t.answerLatency, r.Latency)
	t.verdicts[r.Answer.Verdict.String()]++
	coverage := 1.0
	if r.Answer.Shards > 0 {
		coverage = float64(len(r.Answer.Covered)) / float64(r.Answer.Shards)
	}
	t.sumCoverage += coverage
	t.minCoverage = min(t.minCoverage, coverage)
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
	recordLatency(t.failureLatency, r.Latency)
	fault := clementineport.FaultOf(r.Err)
	t.verdicts[fault.Verdict().String()]++
	t.faults[fault.String()]++
	if fault.Verdict() == clementineport.NotRun {
		t.refused++
	}
}

func (t *tally) addWrong(err error) {
	t.wrong++
	if t.firstWrong == "" {
		t.firstWrong = err.Error()
	}
}

func (t *tally) series(key seriesKey) Series {
	return Series{
		Service:       key.service,
		Policy:        key.policy,
		Sent:          t.sent,
		Answered:      t.answered,
		Failed:        t.sent - t.answered,
		Latency:       newLatency(t.answerLatency),
		FailedLatency: newLatency(t.failureLatency),
		Coverage: Coverage{
			Mean:     ratio(t.sumCoverage, t.answered),
			Min:      t.minCoverage,
			Complete: ratio(float64(t.complete), t.answered),
		},
		Verdicts:   t.verdicts,
		Faults:     t.faults,
		Stats:      t.stats,
		ExtraLoad:  ExtraLoad(t.stats),
		Wrong:      t.wrong,
		FirstWrong: t.firstWrong,
	}
}

func (t *tally) second(key secondKey) Second {
	latency := newLatency(t.answerLatency)
	return Second{
		Second:    key.second,
		Policy:    key.policy,
		Sent:      t.sent,
		Answered:  t.answered,
		Refused:   t.refused,
		Failed:    t.sent - t.answered,
		P50Millis: latency.P50Millis,
		P99Millis: latency.P99Millis,
		Coverage:  ratio(t.sumCoverage, t.answered),
		ExtraLoad: ExtraLoad(t.stats),
	}
}

// ExtraLoad returns the ratio of hedges and retries to ordinary calls. Resends count as neither, because the refused
// calls did not run and put no load on targets.
func ExtraLoad(s clementineport.GatherStats) float64 {
	extra := s.Hedges + s.Retries
	return ratio(float64(extra), s.Calls-extra-s.Resends)
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	millis := func(percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
	}
	return Latency{
		P50Millis:  millis(p50),
		P99Millis:  millis(p99),
		P999Millis: millis(p999),
		MaxMillis:  millis(maximum),
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func ratio(sum float64, count int) float64 {
	if count <= 0 {
		return 0
	}
	return sum / float64(count)
}
