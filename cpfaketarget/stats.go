package cpfaketarget

import (
	"fmt"
	"time"

	"github.com/clementineport/clementineport"
)

// Stats counts what one target has seen since the last reset.
type Stats struct {
	Address string
	Start   clementineport.StartID
	Calls   int
	// LastCall is when the last call came.
	LastCall        time.Time
	Completed       int
	Cancelled       int
	Expired         int
	Shed            int
	WrongSnapshot   int
	Stragglers      int
	FallOvers       int
	PeakInFlight    int
	Connections     int
	PeakConnections int
	// ConnectionsOver is the most connections above the limit.
	ConnectionsOver int
	NewConnections  int
	// CallsAfterDrain counts the calls that came after the drain had begun.
	CallsAfterDrain int
	// LastCallAfterDrainMilliseconds is how long after the start of the drain the last of them came.
	LastCallAfterDrainMilliseconds int64
	NonIdempotent                  int
	// Repeated lists the non-idempotent calls that ran more than once, as request id and shard.
	Repeated []string
	Cold     bool
	Level    int
	InFlight int

	ran  map[string]int
	runs []Run
}

func (s *Stats) reset() {
	*s = Stats{Connections: s.Connections, PeakConnections: s.Connections, ran: map[string]int{}}
}

func (s *Stats) observeDrain(age time.Duration) {
	s.CallsAfterDrain++
	s.LastCallAfterDrainMilliseconds = max(s.LastCallAfterDrainMilliseconds, age.Milliseconds())
}

// observeRun counts a non-idempotent call when it starts to run.
func (s *Stats) observeRun(run Run) {
	s.runs = append(s.runs, run)
	key := fmt.Sprintf("%s/%d", run.Request, run.Shard)
	s.ran[key]++
	s.NonIdempotent++
	if s.ran[key] == 2 {
		s.Repeated = append(s.Repeated, key)
	}
}
