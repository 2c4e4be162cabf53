package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
)

// TraceRow explains one attempt of a query.
type TraceRow struct {
	Attempt clementineport.AttemptID
	Shard   clementineport.ShardID
	Target  clementineport.TargetID
	Try     string
	// Sent is the time since the start of the query.
	Sent time.Duration
	Took time.Duration
	// Ending is open, merged, failed, cancelled or withdrawn.
	Ending string
	Fault  clementineport.Fault
	// Late is true when a reply came after the attempt had ended; it was dropped.
	Late bool
	// Epoch is the number of restarts before the attempt.
	Epoch int
}

// Trace explains one query; it keeps its rows in a compact form until they are asked for.
type Trace struct {
	Request  clementineport.RequestID
	Snapshot clementineport.Snapshot
	Start    time.Time
	Took     time.Duration
	Stats    clementineport.GatherStats
	// Dropped counts results of other requests, unknown or ended attempts, and other snapshots.
	Dropped  int
	attempts []attempt
	epoch    int
	targets  []clementineport.TargetRow
}

// Trace returns the explanation of a query.
func (m *Machine) Trace() *Trace {
	m.stats.Calls = m.calls()
	return &Trace{
		Request:  m.plan.Query.Request,
		Snapshot: m.plan.Choice.Snapshot,
		Start:    m.start,
		Took:     m.closed,
		Stats:    m.stats,
		Dropped:  m.dropped,
		attempts: append([]attempt(nil), m.attempts...),
		epoch:    m.epoch,
		targets:  m.plan.Targets,
	}
}

// Rows returns a row for each attempt.
func (t *Trace) Rows() []TraceRow {
	rows := make([]TraceRow, len(t.attempts))
	for i := range t.attempts {
		a := &t.attempts[i]
		rows[i] = TraceRow{
			Attempt: clementineport.AttemptID(i + 1),
			Shard:   a.shard,
			Target:  t.targets[a.target].ID,
			Try:     a.try.String(),
			Sent:    a.sent,
			Took:    a.took,
			Ending:  endingNames[a.end],
			Fault:   a.fault,
			Late:    a.late,
		}
		if i >= t.epoch {
			rows[i].Epoch = t.Stats.Restarts
		}
	}
	return rows
}
