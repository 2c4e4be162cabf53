package cpfaketarget

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Command changes stand-in targets while they run; unset fields change nothing.
type Command struct {
	// Targets are positions in the fleet; none means all.
	Targets []int
	// Held replaces the snapshots that are answered from.
	Held []clementineport.Snapshot
	// Drain begins or ends a drain.
	Drain *bool
	// ColdRestart restarts the targets cold after PauseMilliseconds.
	ColdRestart bool
	// WarmRestart restarts the targets warm after PauseMilliseconds.
	WarmRestart       bool
	PauseMilliseconds int64
	// Slow multiplies the service time.
	Slow *float64
	// Silent makes the connections that are open now swallow everything.
	Silent bool
	// Reset sets the counters to zero.
	Reset bool
}

// Apply carries out a command.
func (s *Target) Apply(c *Command) {
	s.mu.Lock()
	if c.Held != nil {
		s.model.held = slices.Clone(c.Held)
	}
	if c.Slow != nil {
		s.model.slow = *c.Slow
	}
	if c.Drain != nil {
		s.model.drained = time.Time{}
		if *c.Drain {
			s.model.drained = s.opts.Clock.Now()
		}
	}
	if c.Silent {
		for cn := range s.conns {
			cn.silence()
		}
	}
	if c.Reset {
		s.model.stats.reset()
	}
	s.mu.Unlock()
	if c.ColdRestart || c.WarmRestart {
		s.Restart(c.ColdRestart, time.Duration(c.PauseMilliseconds)*time.Millisecond)
	}
}

// Stats returns the counters.
func (s *Target) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.model.stats
	st.ran, st.runs = nil, nil
	st.Repeated = slices.Clone(st.Repeated)
	st.Address, st.Start = s.address, s.model.start
	st.Cold, st.Level = s.model.cold(), s.model.level
	st.InFlight = s.model.running + s.model.waiting
	return st
}

// Fleet is a set of searchers that one admin port controls.
type Fleet []*Target

// Admin returns the handler of the admin port: POST /admin takes a Command, GET /admin/stats returns
// the counters of each target, GET /admin/runs the non-idempotent calls that have started to run.
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
	for i, s := range f {
		if len(c.Targets) > 0 && !slices.Contains(c.Targets, i) {
			continue
		}
		if c.ColdRestart || c.WarmRestart {
			go s.Apply(&c)
		} else {
			s.Apply(&c)
		}
	}
	writeJSON(w, http.StatusOK, struct{ Targets int }{len(f)})
}

func (f Fleet) stats(w http.ResponseWriter, _ *http.Request) {
	all := make([]Stats, len(f))
	for i, s := range f {
		all[i] = s.Stats()
	}
	writeJSON(w, http.StatusOK, struct{ Targets []Stats }{all})
}
