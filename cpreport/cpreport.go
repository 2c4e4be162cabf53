// Package cpreport collects the results of a load run into a report: latency from the intended start, coverage,
// verdicts, extra load and a timeline. It writes reports as text, CSV and SVG. It sends no requests and reads no clock.
package cpreport

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Report is the result of a load run.
type Report struct {
	Start         time.Time
	Seconds       float64
	Rate          float64
	Callers       int
	Seed          uint64
	NonIdempotent float64
	// Unsent counts requests that were not sent when they were due, because too many were in progress.
	Unsent   int
	Series   []Series
	Timeline []Second
}

// Series sums up the results of one service under one policy.
type Series struct {
	Service  clementineport.ServiceID
	Policy   string
	Sent     int
	Answered int
	Failed   int
	// Latency is the latency of answers and FailedLatency that of failures, both from the intended start.
	Latency       Latency
	FailedLatency Latency
	Coverage      Coverage
	Verdicts      map[string]int
	Faults        map[string]int
	Stats         clementineport.GatherStats
	// ExtraLoad is the ratio of hedges and retries to ordinary calls.
	ExtraLoad float64
	// Wrong counts answers that failed the check; FirstWrong is the error of the first one.
	Wrong      int
	FirstWrong string `json:",omitempty"`
}

// Latency holds latency quantiles in milliseconds.
type Latency struct {
	P50Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
}

// Coverage describes the share of shards that answers covered: its mean and minimum, and the share of answers that
// were complete.
type Coverage struct {
	Mean     float64
	Min      float64
	Complete float64
}

// Second sums up the results of one policy in one second of the timeline, by intended start.
type Second struct {
	Second    int
	Policy    string
	Sent      int
	Answered  int
	Refused   int
	Failed    int
	P50Millis float64
	P99Millis float64
	Coverage  float64
	ExtraLoad float64
}

// Result is the outcome of one request.
type Result struct {
	Service clementineport.ServiceID
	Policy  string
	// Due is the intended start, relative to the start of the run.
	Due time.Duration
	// Latency is the time from the intended start to the end of the request.
	Latency time.Duration
	Answer  *clementineport.Answer
	Err     error
	// CheckErr is the error of the check of the answer.
	CheckErr error
}
