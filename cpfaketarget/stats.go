package cpfaketarget

import (
	"fmt"
	"time"

	"github.com/clementineport/clementineport"
)

// Stats is the state of one target and its counters since the last reset.
type Stats struct {
	Address string
	Start   clementineport.StartID
	Calls   int
	// LastCall is when the last call arrived.
	LastCall      time.Time
	Completed     int
	Cancelled     int
	Expired       int
	Shed          int
	WrongSnapshot int
	Stragglers    int
	// FallOvers counts the crashes of the cold target under overload.
	FallOvers       int
	PeakInFlight    int
	Connections     int
	PeakConnections int
	// ConnectionsOver is the largest number of connections above the maximum.
	ConnectionsOver int
	NewConnections  int
	// CallsAfterDrain counts the calls that arrived after the drain had started.
	CallsAfterDrain int
	// LastCallAfterDrainMilliseconds is the time from the start of the drain to the last of these calls.
	LastCallAfterDrainMilliseconds int64
	NonIdempotent                  int
	// Repeated lists the non-idempotent calls that ran more than once, as request id and shard.
	Repeated []string
	Cold     bool
	// Level is the number of concurrent calls that the target can process.
	Level    int
	InFlight int

	runCounts map[string]int
	runs      []Run
}

func (s *Stats) reset() {
	*s = Stats{Connections: s.Connections, PeakConnections: s.Connections, runCounts: map[string]int{}}
}

func (s *Stats) observeDrain(age time.Duration) {
	s.CallsAfterDrain++
	s.LastCallAfterDrainMilliseconds = max(s.LastCallAfterDrainMilliseconds, age.Milliseconds())
}

// observeRun records that a non-idempotent call has started to run.
func (s *Stats) observeRun(run Run) {
	s.runs = append(s.runs, run)
	key := fmt.Sprintf("%s/%d", run.Request, run.Shard)
	s.runCounts[key]++
	s.NonIdempotent++
	if s.runCounts[key] == 2 {
		s.Repeated = append(s.Repeated, key)
	}
}
