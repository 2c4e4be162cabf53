package cpattempt

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// TraceRow describes one attempt of a query.
type TraceRow struct {
	Attempt clementineport.AttemptID
	Shard   clementineport.ShardID
	Target  clementineport.TargetID
	Try     string
	// Sent is relative to the start of the query.
	Sent time.Duration
	Took time.Duration
	// Ending is open, merged, failed, cancelled or withdrawn.
	Ending string
	Fault  clementineport.Fault
	// Late is true when a reply arrived after the attempt had ended and was dropped.
	Late bool
	// Epoch is the number of restarts before the attempt.
	Epoch int
}

// Trace describes how one query was run. It keeps the attempts in a compact form until Rows is called.
type Trace struct {
	Request  clementineport.RequestID
	Snapshot clementineport.Snapshot
	Start    time.Time
	Took     time.Duration
	Stats    clementineport.GatherStats
	// Dropped counts the dropped results: those of other requests, of unknown or ended attempts, and of other
	// snapshots.
	Dropped int
	log     Log
	targets []clementineport.TargetRow
}

// SetAttempts stores a copy of the attempts; targets are the rows that their target indexes refer to.
func (t *Trace) SetAttempts(l *Log, targets []clementineport.TargetRow) {
	t.log = Log{attempts: slices.Clone(l.attempts), epoch: l.epoch}
	t.targets = targets
}

// Rows returns a row for each attempt.
func (t *Trace) Rows() []TraceRow {
	rows := make([]TraceRow, t.log.Len())
	for i := range rows {
		a := t.log.At(int32(i))
		rows[i] = TraceRow{
			Attempt: ID(int32(i)),
			Shard:   a.Shard,
			Target:  t.targets[a.Target].ID,
			Try:     a.Try.String(),
			Sent:    a.Sent,
			Took:    a.Took,
			Ending:  a.End.String(),
			Fault:   a.Fault,
			Late:    a.Late,
		}
		if i >= t.log.epoch {
			rows[i].Epoch = t.Stats.Restarts
		}
	}
	return rows
}

// Explanation is a trace with its rows in the form that operators receive.
type Explanation struct {
	*Trace
	Attempts []TraceRow
}

// Explanation returns the trace with its rows.
func (t *Trace) Explanation() Explanation { return Explanation{Trace: t, Attempts: t.Rows()} }
