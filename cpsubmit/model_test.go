package cpsubmit_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpstore"
	"github.com/clementineport/clementineport/cpsubmit"
)

// event is one random event of the model.
type event struct{ Kind, Operator, Choice int }

const (
	operators   = 10
	advance     = 12 // kinds below advance execute an operator's next step
	abandon     = 12
	deliver     = 13
	saveImage   = 14
	restore     = 15
	numKinds    = 16
	wroteOK     = 3 // choices below wroteOK: the write gets its reply; others lose the request or the reply, or delay the request
	lostRequest = 4
	lostReply   = 5
)

// operator resends one submission until its outcome is known, then starts another one.
type operator struct {
	name     string
	n        int
	noConfig bool
	session  *cpsubmit.Session
	step     cpsubmit.Step
	text     *cpsubmit.Submission
	out      *cpsubmit.OutRequest
	// allNotRun is true while every session of the submission has ended with the verdict that it was not applied.
	allNotRun bool
}

// model holds the store, the configuration in force, the operators and every write that took effect.
type model struct {
	opts      []cpsubmit.Option
	store     *cpstore.Store
	reliable  clementineport.Store
	images    []cpstore.Image
	inForce   *clementineport.Config
	delayed   []cpsubmit.Step
	operators []*operator
	applied   map[clementineport.SubmissionID]clementineport.Revision
	bases     map[clementineport.SubmissionID]clementineport.Revision
	accepted  map[clementineport.SubmissionID]clementineport.Revision
	refused   map[clementineport.SubmissionID]bool
	restored  bool
}

func noCheck() cpsubmit.Option {
	return cpsubmit.WithCheck(
		func([]byte) error { return nil },
		func(from, to []byte) string { return fmt.Sprintf("%s to %s", from, to) },
		func([]byte, clementineport.FailureDomain) bool { return true },
	)
}

func newModel(rules cpsubmit.Rules) *model {
	m := &model{
		opts: []cpsubmit.Option{noCheck(), cpsubmit.WithRules(rules)}, store: cpstore.New(),
		applied:  make(map[clementineport.SubmissionID]clementineport.Revision),
		bases:    make(map[clementineport.SubmissionID]clementineport.Revision),
		accepted: make(map[clementineport.SubmissionID]clementineport.Revision),
		refused:  make(map[clementineport.SubmissionID]bool),
	}
	m.reliable = m.store.Unscripted()
	m.images = []cpstore.Image{m.store.Save()}
	for i := range operators {
		m.operators = append(m.operators, &operator{name: fmt.Sprintf("op%d", i), noConfig: i%2 == 1})
	}
	return m
}

// begin starts a session. It resends a submission whose outcome is unknown.
func (m *model) begin(o *operator, choice int) {
	if o.text == nil && o.out == nil {
		o.n++
		o.allNotRun = true
		id := clementineport.SubmissionID(fmt.Sprintf("%s-%d", o.name, o.n))
		base := clementineport.Revision(0)
		if m.inForce != nil {
			base = m.inForce.Revision
		}
		if choice%2 == 0 {
			o.text = &cpsubmit.Submission{ID: id, Author: o.name, BasedOn: base, Text: []byte(id)}
			m.bases[id] = base
		} else {
			action := []cpsubmit.Action{cpsubmit.TakeOut, cpsubmit.BringBack}[choice/2%2]
			o.out = &cpsubmit.OutRequest{ID: id, Author: o.name, Action: action, Kind: cpsubmit.KindVM, Name: fmt.Sprintf("vm%d", choice%3)}
		}
	}
	if o.text != nil {
		o.session = cpsubmit.NewTextSession(*o.text, m.opts...)
	} else {
		o.session = cpsubmit.NewOutSession(*o.out, m.opts...)
	}
	o.step = o.session.Start()
}

func (m *model) advance(o *operator, choice int) error {
	ctx := context.Background()
	switch {
	case o.session == nil:
		m.begin(o, choice)
		return nil
	case o.step.Kind == cpsubmit.StepRead:
		stored, version, err := cpsubmit.Read(ctx, m.reliable)
		if err != nil {
			return err
		}
		o.step = o.session.Read(stored, m.known(o), version, time.Unix(0, 0))
	case o.step.Kind == cpsubmit.StepWrite:
		step := o.step
		var err error
		switch {
		case choice < wroteOK:
			var violation error
			if err, violation = m.write(step); violation != nil {
				return violation
			}
		case choice == lostRequest:
			err = clementineport.Fail(clementineport.FaultReset, "lost")
		case choice == lostReply:
			if _, violation := m.write(step); violation != nil {
				return violation
			}
			err = clementineport.Fail(clementineport.FaultReset, "lost")
		default:
			m.delayed = append(m.delayed, step)
			err = clementineport.Fail(clementineport.FaultTimeout, "late")
		}
		o.step = o.session.Wrote(err)
	}
	if o.step.Kind == cpsubmit.StepDone {
		return m.end(o)
	}
	return nil
}

// known returns what the operator's VM has in force. VMs of operators with noConfig have no configuration until the
// first restore of the store.
func (m *model) known(o *operator) *clementineport.Config {
	if !m.restored && o.noConfig {
		return nil
	}
	return m.inForce
}

// write executes a write and checks what it changes. The error violation is set if that breaks an invariant.
func (m *model) write(step cpsubmit.Step) (err, violation error) {
	value, err := cpestate.EncodeConfig(step.Config)
	if err != nil {
		return nil, err
	}
	if _, err := m.reliable.CompareAndSwap(context.Background(), cpsubmit.ConfigKey, step.Expected, value); err != nil {
		return err, nil
	}
	if step.CreateKey {
		return nil, nil
	}
	before := m.inForce
	if before == nil {
		before = &clementineport.Config{}
	}
	change := step.Config.Changes[len(step.Config.Changes)-1]
	if step.Config.Revision <= before.Revision {
		return nil, fmt.Errorf("revision %d was accepted after %d", step.Config.Revision, before.Revision)
	}
	if earlier, found := m.applied[change.Submission]; found {
		return nil, fmt.Errorf("%s was applied as revisions %d and %d", change.Submission, earlier, change.Revision)
	}
	if base, isText := m.bases[change.Submission]; isText && base != before.Revision {
		return nil, fmt.Errorf("text %s was based on %d, but replaced %d", change.Submission, base, before.Revision)
	} else if isText && !slices.Equal(step.Config.OutOfService.VMs, before.OutOfService.VMs) {
		return nil, fmt.Errorf("text %s changed what is out", change.Submission)
	}
	if diff := len(step.Config.OutOfService.VMs) - len(before.OutOfService.VMs); diff < -1 || diff > 1 {
		return nil, fmt.Errorf("%s changed more than one VM", change.Submission)
	}
	m.applied[change.Submission] = change.Revision
	m.inForce = step.Config
	return nil, nil
}

// end checks the outcome that a session reported against what was applied.
func (m *model) end(o *operator) error {
	id := clementineport.SubmissionID(fmt.Sprintf("%s-%d", o.name, o.n))
	o.session = nil
	switch err := o.step.Err; {
	case err == nil:
		if m.applied[id] != o.step.Result.Revision {
			return fmt.Errorf("%s was reported as revision %d, but was applied as %d", id, o.step.Result.Revision, m.applied[id])
		}
	case clementineport.VerdictOf(err) == clementineport.NotRun:
		if o.allNotRun {
			m.refused[id] = true
		}
		var conflict *cpsubmit.ConflictError
		if errors.As(err, &conflict) && len(conflict.Changes) == 0 {
			return fmt.Errorf("%s got a conflict without changes", id)
		}
	default:
		o.allNotRun = false
		return nil // the outcome is unknown, so the same submission is sent again
	}
	o.text, o.out = nil, nil
	return nil
}

func (m *model) step(e event) error {
	o := m.operators[e.Operator]
	switch {
	case e.Kind < advance:
		return m.advance(o, e.Choice)
	case e.Kind == abandon && o.session != nil && o.step.Kind != cpsubmit.StepDone:
		o.step = o.session.Abandon(context.DeadlineExceeded)
		return m.end(o)
	case e.Kind == deliver && len(m.delayed) > 0:
		i := e.Choice % len(m.delayed)
		late := m.delayed[i]
		m.delayed = slices.Delete(m.delayed, i, i+1)
		_, violation := m.write(late)
		return violation
	case e.Kind == saveImage:
		m.images = append(m.images, m.store.Save())
	case e.Kind == restore:
		m.restored = true
		m.store.Restore(m.images[e.Choice%len(m.images)])
	}
	return nil
}

// runEvents runs the events on a new model and returns the first violation of an invariant.
func runEvents(events []event, rules cpsubmit.Rules) error {
	m := newModel(rules)
	for i, e := range events {
		if err := m.step(e); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		for id := range m.refused {
			if _, ran := m.applied[id]; ran {
				return fmt.Errorf("event %d: %s was refused as not run, but was applied", i, id)
			}
		}
	}
	return nil
}

func events() *rapid.Generator[[]event] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Kind:     rapid.IntRange(0, numKinds-1).Draw(t, "kind"),
			Operator: rapid.IntRange(0, operators-1).Draw(t, "operator"),
			Choice:   rapid.IntRange(0, 6).Draw(t, "choice"),
		}
	}), 50, 400)
}

func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, runEvents(events().Draw(t, "events"), cpsubmit.AllRules()))
	})
}

func TestEachRuleIsNeeded(t *testing.T) {
	for name, disable := range map[string]func(*cpsubmit.Rules){
		"monotonic revisions": func(r *cpsubmit.Rules) { r.MonotonicRevisions = false },
		"deduplicate":         func(r *cpsubmit.Rules) { r.Deduplicate = false },
		"check base":          func(r *cpsubmit.Rules) { r.CheckBase = false },
		"create key":          func(r *cpsubmit.Rules) { r.CreateKey = false },
	} {
		t.Run(name, func(t *testing.T) {
			rules := cpsubmit.AllRules()
			disable(&rules)
			for seed := range 200 {
				if err := runEvents(events().Example(seed), rules); err != nil {
					t.Log("seed", seed, err)
					return
				}
			}
			t.Fatal("no invariant was violated without the rule")
		})
	}
}
