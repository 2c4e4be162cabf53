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
	// drainPollInterval is the time between two looks at a shutdown.
	drainPollInterval = 50 * time.Millisecond
	// propagationTime is how long the other VMs may take to learn that this one is leaving.
	propagationTime = 500 * time.Millisecond
	// entryListShare is the part of the grace for which callers may still come with an old address; the rest is for
	// requests in progress.
	entryListShare = 0.45
	// maxDurationShare is the part of the grace after which requests in progress are given up, so that the process itself
	// can end before it is ended by force.
	maxDurationShare = 5.0 / 6
)

// drainer is the shutdown of the process, for many goroutines.
type drainer struct {
	clock clementineport.Clock

	mu    sync.Mutex
	drain *cpdrain.Drain
	// signals counts the signals to shut down.
	signals int
}

func newDrainer(s *cpconf.Settings, clock clementineport.Clock) *drainer {
	return &drainer{clock: clock, drain: cpdrain.New(
		cpdrain.WithPropagationTime(propagationTime),
		cpdrain.WithEntryListTTL(time.Duration(float64(s.Bounds.Grace)*entryListShare)),
		cpdrain.WithMaxDuration(time.Duration(float64(s.Bounds.Grace)*maxDurationShare)),
	)}
}

// admit returns why no work is taken, or nil.
func (d *drainer) admit() *clementineport.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := errors.AsType[*clementineport.Error](d.drain.Admit()); ok {
		return e
	}
	return nil
}

// serving reports whether callers may be sent here.
func (d *drainer) serving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain.Listed()
}

// signal records a signal to shut down, and reports whether it is the first.
func (d *drainer) signal() (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signals++
	d.drain.Signal(d.clock.Now())
	return d.signals == 1
}

// tick moves the shutdown on.
func (d *drainer) tick(inFlight int) cpdrain.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain.Tick(d.clock.Now(), inFlight)
}
