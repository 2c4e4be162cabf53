// Package cptarget implements clementineport.Target in memory, for tests and for embedding without a network. It
// handles no replicas, limits or retries.
package cptarget

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Step is the scripted outcome of one call to a Memory target.
type Step struct {
	// Fault fails the call; FaultUnknown lets it succeed.
	Fault clementineport.Fault
	// Hang makes the call wait until its context ends or its deadline passes.
	Hang bool
	// Delay is added to the service time.
	Delay time.Duration
	// RetryAfter is returned with a refusal.
	RetryAfter time.Duration
}

// Memory is an in-memory target. It is safe for concurrent use.
type Memory struct {
	opts Options

	mu      sync.Mutex
	signals clementineport.Signals
	script  []Step
	ran     int
	closed  bool
}

// New returns a target that serves every shard of the snapshots that its signals list.
func New(opts ...Option) *Memory {
	o := NewOptions(opts...)
	return &Memory{opts: o, signals: o.Signals}
}

// Script appends steps to the script. Each call takes one step; calls beyond the end of the script succeed.
func (m *Memory) Script(steps ...Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.script = append(m.script, steps...)
}

// SetSignals sets the signals that the target reports, except InFlight, which the target counts itself.
func (m *Memory) SetSignals(s clementineport.Signals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.InFlight = m.signals.InFlight
	m.signals = s
}

// Ran returns the number of calls that ran.
func (m *Memory) Ran() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran
}

// Search implements clementineport.Target. A refusal by the target comes with a reply that carries its signals.
func (m *Memory) Search(ctx context.Context, call *clementineport.Call) (*clementineport.Reply, error) {
	if !call.Deadline.After(m.opts.Clock.Now()) {
		return nil, clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	step, err := m.start(call)
	switch clementineport.FaultOf(err) {
	case clementineport.FaultRefused, clementineport.FaultUnsent:
		return nil, err
	}
	if err != nil {
		return m.refusal(call), err
	}
	defer m.finish()
	if err := m.wait(ctx, call, step); err != nil {
		return nil, err
	}
	if step.Fault != clementineport.FaultUnknown {
		return nil, clementineport.Fail(step.Fault, "scripted")
	}
	return &clementineport.Reply{
		Request:  call.Request,
		Shard:    call.Shard,
		Snapshot: call.Snapshot,
		Hits:     Hits(call.Index, call.Shard, call.Snapshot, call.Text, call.Limit),
		Signals:  m.current(),
	}, nil
}

// Status implements clementineport.Target.
func (m *Memory) Status(context.Context) (clementineport.Signals, error) {
	return m.current(), nil
}

// Close implements clementineport.Target.
func (m *Memory) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}

// start takes the next step and counts the call as running, or refuses it.
func (m *Memory) start(call *clementineport.Call) (Step, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var step Step
	if len(m.script) > 0 {
		step, m.script = m.script[0], m.script[1:]
	}
	switch {
	case m.closed:
		return step, clementineport.Fail(clementineport.FaultRefused, "closed")
	case step.Fault != clementineport.FaultUnknown && step.Fault.Verdict() == clementineport.NotRun:
		return step, &clementineport.Error{Fault: step.Fault, Reason: "scripted", RetryAfter: step.RetryAfter}
	case m.signals.Draining:
		return step, clementineport.Fail(clementineport.FaultDraining, "draining")
	case !slices.Contains(m.signals.Held, call.Snapshot):
		return step, clementineport.Fail(clementineport.FaultSnapshot, "%v is not held", call.Snapshot)
	}
	m.ran++
	m.signals.InFlight++
	return step, nil
}

func (m *Memory) finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.signals.InFlight--
}

func (m *Memory) wait(ctx context.Context, call *clementineport.Call, step Step) error {
	delay := m.opts.ServiceTime + step.Delay
	left := call.Deadline.Sub(m.opts.Clock.Now())
	late := step.Hang || delay > left
	if !late && delay <= 0 {
		return nil
	}
	if late {
		delay = left
	}
	select {
	case <-m.opts.Clock.After(delay):
		if late {
			return clementineport.Fail(clementineport.FaultTimeout, "no answer before the deadline")
		}
		return nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return &clementineport.Error{Fault: clementineport.FaultTimeout, Err: ctx.Err()}
		}
		return &clementineport.Error{Fault: clementineport.FaultCanceled, Err: ctx.Err()}
	}
}

func (m *Memory) refusal(call *clementineport.Call) *clementineport.Reply {
	return &clementineport.Reply{Request: call.Request, Shard: call.Shard, Signals: m.current()}
}

func (m *Memory) current() clementineport.Signals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.signals
}
