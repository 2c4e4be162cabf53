package cpplatformvm

import (
	"errors"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/platform/cpconf"
)

// Times of a shutdown.
const (
	// drainPollInterval is the time between checks of the state of a shutdown.
	drainPollInterval = 50 * time.Millisecond
	// propagationTime is the maximum time until the other VMs know that this one is leaving.
	propagationTime = 500 * time.Millisecond
	// entryListShare is the share of the grace period in which callers may still connect to an address that they have
	// cached; the rest is for requests in flight.
	entryListShare = 0.45
	// requestShare is the share of the grace period after which requests in flight are ended with an answer.
	requestShare = 5.0 / 6
	// answerShare is the share of the grace period in which these answers are written. What remains is for closing the listeners,
	// so that the process exits before the platform kills it.
	answerShare = 1.0 / 15
)

// drainer guards the Drain of the process for concurrent use.
type drainer struct {
	clock clementineport.Clock

	mu    sync.Mutex
	drain *cpdrain.Drain
	// signals is the number of shutdown signals received.
	signals int
}

func newDrainer(s *cpconf.Settings, clock clementineport.Clock) *drainer {
	return &drainer{clock: clock, drain: cpdrain.New(
		cpdrain.WithPropagationTime(propagationTime),
		cpdrain.WithEntryListTTL(share(s.Bounds.Grace, entryListShare)),
		cpdrain.WithMaxDuration(share(s.Bounds.Grace, requestShare+answerShare)),
		cpdrain.WithAnswerTime(share(s.Bounds.Grace, answerShare)),
	)}
}

// admit returns the reason for which new requests are refused, or nil.
func (d *drainer) admit() *clementineport.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := errors.AsType[*clementineport.Error](d.drain.Admit()); ok {
		return e
	}
	return nil
}

// admitRequest returns the reason for which a request on a route with a latency is refused, or nil.
func (d *drainer) admitRequest(route *clementineport.Route, deadline time.Time, latency time.Duration) *clementineport.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := errors.AsType[*clementineport.Error](d.drain.AdmitRequest(d.clock.Now(), route, deadline, latency)); ok {
		return e
	}
	return nil
}

// serving reports whether callers may be directed to this VM.
func (d *drainer) serving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain.Listed()
}

// signal records a shutdown signal and reports whether it is the first.
func (d *drainer) signal() (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signals++
	d.drain.Signal(d.clock.Now())
	return d.signals == 1
}

// tick advances the shutdown and returns its state.
func (d *drainer) tick(inFlight int) cpdrain.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain.Tick(d.clock.Now(), inFlight)
}
