package cpfaketarget

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Command changes fake targets while they run; unset fields change nothing.
type Command struct {
	// Targets are indexes into the fleet; an empty list means all targets.
	Targets []int
	// Held replaces the snapshots that the targets hold.
	Held []clementineport.Snapshot
	// Drain starts or ends a drain.
	Drain *bool
	// ColdRestart restarts the targets cold after PauseMilliseconds.
	ColdRestart bool
	// WarmRestart restarts the targets warm after PauseMilliseconds.
	WarmRestart       bool
	PauseMilliseconds int64
	// Slow multiplies the service time.
	Slow *float64
	// Silent makes the connections that are currently open silent: they drop all data without being closed.
	Silent bool
	// Reset sets the counters to zero.
	Reset bool
}

// Apply executes a command, regardless of its Targets.
func (t *Target) Apply(c *Command) {
	t.mu.Lock()
	if c.Held != nil {
		t.model.snapshots = slices.Clone(c.Held)
	}
	if c.Slow != nil {
		t.model.slowFactor = *c.Slow
	}
	if c.Drain != nil {
		t.model.drainStart = time.Time{}
		if *c.Drain {
			t.model.drainStart = t.opts.Clock.Now()
		}
	}
	if c.Silent {
		for cn := range t.conns {
			cn.goSilent()
		}
	}
	if c.Reset {
		t.model.stats.reset()
	}
	t.mu.Unlock()
	if c.ColdRestart || c.WarmRestart {
		t.Restart(c.ColdRestart, time.Duration(c.PauseMilliseconds)*time.Millisecond)
	}
}

// Stats returns the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.model.stats
	st.runCounts, st.runs = nil, nil
	st.Repeated = slices.Clone(st.Repeated)
	st.Address, st.Start = t.address, t.model.start
	st.Cold, st.Level = t.model.cold(), t.model.concurrencyLimit
	st.InFlight = t.model.running + t.model.waiting
	return st
}

// Fleet is a set of targets that one admin port controls.
type Fleet []*Target

// Admin returns the handler of the admin port. POST /admin executes a Command, GET /admin/stats returns the counters
// of each target, and GET /admin/runs returns the non-idempotent calls that have started to run.
func (f Fleet) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin", f.command)
	mux.HandleFunc("GET /admin/stats", f.stats)
	mux.HandleFunc("GET /admin/runs", f.runs)
	return mux
}

func (f Fleet) command(w http.ResponseWriter, r *http.Request) {
	var c Command
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{ Error string }{err.Error()})
		return
	}
	for i, t := range f {
		if len(c.Targets) > 0 && !slices.Contains(c.Targets, i) {
			continue
		}
		if c.ColdRestart || c.WarmRestart {
			go t.Apply(&c)
		} else {
			t.Apply(&c)
		}
	}
	writeJSON(w, http.StatusOK, struct{ Targets int }{len(f)})
}

func (f Fleet) stats(w http.ResponseWriter, _ *http.Request) {
	all := make([]Stats, len(f))
	for i, t := range f {
		all[i] = t.Stats()
	}
	writeJSON(w, http.StatusOK, struct{ Targets []Stats }{all})
}
