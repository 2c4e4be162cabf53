// Package cpreport gathers the results of a load run into a report: latency from the intended start,
// coverage, verdicts, extra load, and a time line. It sends nothing and reads no clock.
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
	// Unsent counts requests that were due but not sent, because too many were in progress.
	Unsent   int
	Series   []Series
	Timeline []Second
}

// Series is the result of one service under one policy.
type Series struct {
	Service  clementineport.ServiceID
	Policy   string
	Sent     int
	Answered int
	Failed   int
	// Latency is the time of answers and FailedLatency that of failures, both from the intended start.
	Latency       Latency
	FailedLatency Latency
	Coverage      Coverage
	Verdicts      map[string]int
	Faults        map[string]int
	Stats         clementineport.GatherStats
	// ExtraLoad is the number of hedges and retries for each ordinary call.
	ExtraLoad float64
	// Wrong counts answers that broke the check; FirstWrong is the first reason.
	Wrong      int
	FirstWrong string `json:",omitempty"`
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
}

// Coverage tells which share of the shards the answers covered.
type Coverage struct {
	Mean     float64
	Min      float64
	Complete float64
}

// Second is one second of the time line under one policy, counted by intended start.
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

// Result is what became of one request.
type Result struct {
	Service clementineport.ServiceID
	Policy  string
	// Due is the intended start, counted from the start of the run.
	Due time.Duration
	// Latency is the time from the intended start to the end.
	Latency time.Duration
	Answer  *clementineport.Answer
	Err     error
	// CheckErr is what the check said about the answer.
	CheckErr error
}
