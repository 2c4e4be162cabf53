package cpentryvm

import (
	"context"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
)

const drainTickInterval = 50 * time.Millisecond

// drainer drives the state machine of a graceful shutdown.
type drainer struct {
	n            *Node
	mu           sync.Mutex
	drain        *cpdrain.Drain
	outOfService bool
}

func newDrainer(n *Node) *drainer {
	return &drainer{n: n, drain: cpdrain.New(
		cpdrain.WithEntryListTTL(n.settings.Shutdown.AdviceLife),
		cpdrain.WithMaxDuration(n.settings.Shutdown.Whole),
	)}
}

// admit returns nil if queries of callers are accepted, or else a refusal that names another entry VM.
func (d *drainer) admit() error {
	d.mu.Lock()
	err := d.drain.Admit()
	d.mu.Unlock()
	if err == nil {
		return nil
	}
	return &clementineport.Error{
		Fault: clementineport.FaultOf(err), Reason: "this VM takes no new queries", Entry: d.otherEntry(), Err: err,
	}
}

// otherEntry returns the address of another VM of the entry list, or an empty string.
func (d *drainer) otherEntry() string {
	entries, _, _ := d.n.entry.Entries("", d.n.self.Domain)
	for _, e := range entries {
		if e.VM != d.n.self.ID {
			return e.Address
		}
	}
	return ""
}

func (d *drainer) setOutOfService(out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if out != d.outOfService {
		d.outOfService = out
		d.n.log.Info("operators changed whether this VM is in service", zap.Bool("out", out))
	}
	d.drain.SetOutOfService(d.n.clock.Now(), out)
}

func (d *drainer) aborted() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain.Aborted()
}

// run returns when ctx ends or a graceful shutdown, which a signal starts, is complete.
func (d *drainer) run(ctx context.Context, signals <-chan os.Signal) {
	last := cpdrain.StateServing
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			d.signal()
		case <-d.n.clock.After(drainTickInterval):
		}
		state := d.tick()
		if state != last {
			d.n.log.Info("shutdown", zap.Stringer("state", state), zap.Int("in_flight", d.n.entry.InFlight()))
			last = state
		}
		if state == cpdrain.StateEnded {
			return
		}
	}
}

func (d *drainer) signal() {
	d.mu.Lock()
	d.drain.Signal(d.n.clock.Now())
	d.mu.Unlock()
	d.n.control.Leave()
}

func (d *drainer) tick() cpdrain.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drain.Tick(d.n.clock.Now(), d.n.entry.InFlight())
}
