package cpactiveset

import (
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// meterWindow is the time that a load is measured over. It holds some requests of each VM, and is short enough to see a burst.
const meterWindow = 2 * time.Second

// Meter measures the load of this VM. Count is safe for concurrent use; Load is not.
type Meter struct {
	cores             float64
	requests, refused atomic.Uint64
	// samples are in order of time. The first one is the last one from before the window.
	samples []sample
}

// sample holds the totals at one time.
type sample struct {
	at                time.Time
	processor         time.Duration
	requests, refused uint64
}

// NewMeter returns a meter of a VM that may use a number of cores, which need not be whole.
func NewMeter(cores float64) *Meter { return &Meter{cores: cores} }

// Count counts a request of a caller, and whether it was refused in overload.
func (m *Meter) Count(refused bool) {
	if refused {
		m.refused.Add(1)
		return
	}
	m.requests.Add(1)
}

// Load returns the load since the start of the window. processor is the processor time that this process has used so far. The
// result is zero at the first call, and if the number of cores is not known.
func (m *Meter) Load(now time.Time, processor time.Duration) clementineport.VMLoad {
	last := sample{at: now, processor: processor, requests: m.requests.Load(), refused: m.refused.Load()}
	m.samples = append(m.samples, last)
	for len(m.samples) > 2 && now.Sub(m.samples[1].at) >= meterWindow {
		m.samples = m.samples[1:]
	}
	first := &m.samples[0]
	elapsed := now.Sub(first.at).Seconds()
	if elapsed <= 0 || m.cores <= 0 {
		return clementineport.VMLoad{}
	}
	return clementineport.VMLoad{
		Rate:    clementineport.RequestRate(float64(last.requests-first.requests+last.refused-first.refused) / elapsed),
		Refused: clementineport.RequestRate(float64(last.refused-first.refused) / elapsed),
		Busy:    min(1, max(0, (last.processor-first.processor).Seconds()/(elapsed*m.cores))),
	}
}
