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

// event is one drawn event of the model.
type event struct{ Kind, Operator, Choice int }

const (
	operators   = 10
	advance     = 12 // kinds below advance let an operator take its next step
	abandon     = 12
	deliver     = 13
	saveImage   = 14
	restore     = 15
	numKinds    = 16
	wroteOK     = 3 // choices below 3 of 6 reply; the others lose the request, the reply, or delay the request
	lostRequest = 4
	lostReply   = 5
)

// operator sends one submission again and again until its outcome is known, then makes up another one.
type operator struct {
	name    string
	n       int
	blind   bool
	session *cpsubmit.Session
	step    cpsubmit.Step
	text    *cpsubmit.Submission
	move    *cpsubmit.OutRequest
	// sure is true while every end of a session has said that the submission was not applied.
	sure bool
}

// world holds the store, what is in force, and every write that took effect.
type world struct {
	opts      []cpsubmit.Option
	store     *cpstore.Store
	plain     clementineport.Store
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

func newWorld(rules cpsubmit.Rules) *world {
	w := &world{
		opts: []cpsubmit.Option{noCheck(), cpsubmit.WithRules(rules)}, store: cpstore.New(),
		applied:  make(map[clementineport.SubmissionID]clementineport.Revision),
		bases:    make(map[clementineport.SubmissionID]clementineport.Revision),
		accepted: make(map[clementineport.SubmissionID]clementineport.Revision),
		refused:  make(map[clementineport.SubmissionID]bool),
	}
	w.plain = w.store.Plain()
	w.images = []cpstore.Image{w.store.Save()}
	for i := range operators {
		w.operators = append(w.operators, &operator{name: fmt.Sprintf("op%d", i), blind: i%2 == 1})
	}
	return w
}

// begin starts a session; a submission whose outcome is unknown is sent again.
func (w *world) begin(o *operator, choice int) {
	if o.text == nil && o.move == nil {
		o.n++
		o.sure = true
		id := clementineport.SubmissionID(fmt.Sprintf("%s-%d", o.name, o.n))
		base := clementineport.Revision(0)
		if w.inForce != nil {
			base = w.inForce.Revision
		}
		if choice%2 == 0 {
			o.text = &cpsubmit.Submission{ID: id, Author: o.name, BasedOn: base, Text: []byte(id)}
			w.bases[id] = base
		} else {
			action := []cpsubmit.Action{cpsubmit.TakeOut, cpsubmit.BringBack}[choice/2%2]
			o.move = &cpsubmit.OutRequest{ID: id, Author: o.name, Action: action, Kind: cpsubmit.KindVM, Name: fmt.Sprintf("vm%d", choice%3)}
		}
	}
	if o.text != nil {
		o.session = cpsubmit.NewTextSession(*o.text, w.opts...)
	} else {
		o.session = cpsubmit.NewOutSession(*o.move, w.opts...)
	}
	o.step = o.session.Start()
}

func (w *world) advance(o *operator, choice int) error {
	ctx := context.Background()
	switch {
	case o.session == nil:
		w.begin(o, choice)
		return nil
	case o.step.Kind == cpsubmit.StepRead:
		stored, version, err := cpsubmit.Read(ctx, w.plain)
		if err != nil {
			return err
		}
		o.step = o.session.Read(stored, w.known(o), version, time.Unix(0, 0))
	case o.step.Kind == cpsubmit.StepWrite:
		step := o.step
		var err error
		switch {
		case choice < wroteOK:
			var broken error
			if err, broken = w.write(step); broken != nil {
				return broken
			}
		case choice == lostRequest:
			err = clementineport.Fail(clementineport.FaultReset, "lost")
		case choice == lostReply:
			if _, broken := w.write(step); broken != nil {
				return broken
			}
			err = clementineport.Fail(clementineport.FaultReset, "lost")
		default:
			w.delayed = append(w.delayed, step)
			err = clementineport.Fail(clementineport.FaultTimeout, "late")
		}
		o.step = o.session.Wrote(err)
	}
	if o.step.Kind == cpsubmit.StepDone {
		return w.end(o)
	}
	return nil
}

// known returns what the operator's VM has in force. Until a first restore, every other VM knows of nothing.
func (w *world) known(o *operator) *clementineport.Config {
	if !w.restored && o.blind {
		return nil
	}
	return w.inForce
}

// write carries out a write and checks what it changes.
func (w *world) write(step cpsubmit.Step) (err, broken error) {
	value, err := cpestate.EncodeConfig(step.Config)
	if err != nil {
		return nil, err
	}
	if _, err := w.plain.CompareAndSwap(context.Background(), cpsubmit.ConfigKey, step.Expected, value); err != nil {
		return err, nil
	}
	if step.CreateKey {
		return nil, nil
	}
	before := w.inForce
	if before == nil {
		before = &clementineport.Config{}
	}
	mine := step.Config.Changes[len(step.Config.Changes)-1]
	if step.Config.Revision <= before.Revision {
		return nil, fmt.Errorf("revision %d was accepted after %d", step.Config.Revision, before.Revision)
	}
	if earlier, twice := w.applied[mine.Submission]; twice {
		return nil, fmt.Errorf("%s was applied as revisions %d and %d", mine.Submission, earlier, mine.Revision)
	}
	if base, isText := w.bases[mine.Submission]; isText && base != before.Revision {
		return nil, fmt.Errorf("text %s was based on %d, but replaced %d", mine.Submission, base, before.Revision)
	} else if isText && !slices.Equal(step.Config.OutOfService.VMs, before.OutOfService.VMs) {
		return nil, fmt.Errorf("text %s changed what is out", mine.Submission)
	}
	if diff := len(step.Config.OutOfService.VMs) - len(before.OutOfService.VMs); diff < -1 || diff > 1 {
		return nil, fmt.Errorf("%s moved more than one VM", mine.Submission)
	}
	w.applied[mine.Submission] = mine.Revision
	w.inForce = step.Config
	return nil, nil
}

// end checks the outcome of a session.
func (w *world) end(o *operator) error {
	id := clementineport.SubmissionID(fmt.Sprintf("%s-%d", o.name, o.n))
	o.session = nil
	switch err := o.step.Err; {
	case err == nil:
		if w.applied[id] != o.step.Result.Revision {
			return fmt.Errorf("%s was told revision %d, but was applied as %d", id, o.step.Result.Revision, w.applied[id])
		}
	case clementineport.VerdictOf(err) == clementineport.NotRun:
		if o.sure {
			w.refused[id] = true
		}
		var conflict *cpsubmit.ConflictError
		if errors.As(err, &conflict) && len(conflict.Changes) == 0 {
			return fmt.Errorf("%s lost to nobody", id)
		}
	default:
		o.sure = false
		return nil // unknown: the same submission is sent again
	}
	o.text, o.move = nil, nil
	return nil
}

func (w *world) step(e event) error {
	o := w.operators[e.Operator]
	switch {
	case e.Kind < advance:
		return w.advance(o, e.Choice)
	case e.Kind == abandon && o.session != nil && o.step.Kind != cpsubmit.StepDone:
		o.step = o.session.Abandon(context.DeadlineExceeded)
		return w.end(o)
	case e.Kind == deliver && len(w.delayed) > 0:
		i := e.Choice % len(w.delayed)
		late := w.delayed[i]
		w.delayed = slices.Delete(w.delayed, i, i+1)
		_, broken := w.write(late)
		return broken
	case e.Kind == saveImage:
		w.images = append(w.images, w.store.Save())
	case e.Kind == restore:
		w.restored = true
		w.store.Restore(w.images[e.Choice%len(w.images)])
	}
	return nil
}

// play runs the events and returns the first broken promise.
func play(events []event, rules cpsubmit.Rules) error {
	w := newWorld(rules)
	for i, e := range events {
		if err := w.step(e); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		for id := range w.refused {
			if _, ran := w.applied[id]; ran {
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
		assert.NilError(t, play(events().Draw(t, "events"), cpsubmit.AllRules()))
	})
}

func TestEachRuleIsNeeded(t *testing.T) {
	for name, off := range map[string]func(*cpsubmit.Rules){
		"floor":      func(r *cpsubmit.Rules) { r.MonotonicRevisions = false },
		"recognize":  func(r *cpsubmit.Rules) { r.Deduplicate = false },
		"check base": func(r *cpsubmit.Rules) { r.CheckBase = false },
		"anchor":     func(r *cpsubmit.Rules) { r.CreateKey = false },
	} {
		t.Run(name, func(t *testing.T) {
			rules := cpsubmit.AllRules()
			off(&rules)
			for seed := range 200 {
				if err := play(events().Example(seed), rules); err != nil {
					t.Log("seed", seed, err)
					return
				}
			}
			t.Fatal("no promise was broken without the rule")
		})
	}
}
