// Package cpsubmit writes configuration changes to the platform's store.
//
// It resolves conflicts between concurrent changes and finds out whether a change whose reply was lost was accepted.
// It keeps no state of its own and does not distribute configurations to VMs.
package cpsubmit

import (
	"fmt"
	"slices"

	"github.com/clementineport/clementineport"
)

const (
	// ConfigKey is the key of the configuration in the store.
	ConfigKey = "clementineport/config"
	// MaxChanges is the maximum number of changes in the history of a configuration.
	MaxChanges = 64
)

// Submission is an edited estate text.
type Submission struct {
	ID      clementineport.SubmissionID
	Author  string
	BasedOn clementineport.Revision
	Text    []byte
}

// Action says whether an OutRequest takes something out of service or returns it to service.
type Action string

const (
	// TakeOut takes a VM or failure domain out of service.
	TakeOut Action = "take-out"
	// BringBack returns a VM or failure domain to service.
	BringBack Action = "bring-back"
)

// Kind says what an OutRequest applies to.
type Kind string

const (
	// KindVM is an entry VM.
	KindVM Kind = "vm"
	// KindDomain is a failure domain.
	KindDomain Kind = "domain"
)

// OutRequest is a request to take a VM or a failure domain out of service, or to return it to service.
type OutRequest struct {
	ID     clementineport.SubmissionID
	Author string
	// BasedOn is the revision that the operator last saw; zero means unknown. If it is set, a resend after more than
	// MaxChanges other changes fails instead of being applied a second time.
	BasedOn clementineport.Revision
	Action  Action
	Kind    Kind
	Name    string
}

// Result is an accepted change.
type Result struct {
	Revision clementineport.Revision
	// Config is the newest configuration that the change is part of.
	Config *clementineport.Config
	// Repeated is true if the same submission had already been accepted.
	Repeated bool
	// Restored is true if the store held a lower revision than the one in force, as after a restore from a backup.
	Restored bool
}

// ConflictError means that the configuration was changed after the revision that a submission is based on.
type ConflictError struct {
	Current clementineport.Revision
	Changes []clementineport.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("revision %d is in force", e.Current)
	for _, c := range e.Changes {
		text += fmt.Sprintf("; revision %d by %s: %s", c.Revision, c.Author, c.Summary)
	}
	return text
}

// Unwrap returns a FaultConflict error.
func (e *ConflictError) Unwrap() error {
	return clementineport.Fail(clementineport.FaultConflict, "revision %d is in force", e.Current)
}

// request is a configuration change that a session carries out.
type request interface {
	id() clementineport.SubmissionID
	author() string
	basedOn() clementineport.Revision
	// apply returns the text and what is out of service after the change, and a summary of the change.
	apply(current *clementineport.Config) (text []byte, out clementineport.OutOfService, summary string, err error)
	// needsBase reports whether the change may only replace the revision that it is based on.
	needsBase() bool
}

type textRequest struct {
	Submission
	diff func(from, to []byte) string
}

func (r *textRequest) id() clementineport.SubmissionID  { return r.ID }
func (r *textRequest) author() string                   { return r.Author }
func (r *textRequest) basedOn() clementineport.Revision { return r.BasedOn }
func (r *textRequest) needsBase() bool                  { return true }

func (r *textRequest) apply(current *clementineport.Config) ([]byte, clementineport.OutOfService, string, error) {
	return r.Text, current.OutOfService, r.diff(current.Text, r.Text), nil
}

type outRequest struct {
	OutRequest
	// hasDomain reports whether a text defines a failure domain.
	hasDomain func(text []byte, domain clementineport.FailureDomain) bool
}

func (r *outRequest) id() clementineport.SubmissionID  { return r.ID }
func (r *outRequest) author() string                   { return r.Author }
func (r *outRequest) basedOn() clementineport.Revision { return r.BasedOn }
func (r *outRequest) needsBase() bool                  { return false }

func (r *outRequest) apply(current *clementineport.Config) ([]byte, clementineport.OutOfService, string, error) {
	out := clementineport.OutOfService{VMs: slices.Clone(current.OutOfService.VMs), Domains: slices.Clone(current.OutOfService.Domains)}
	domain := clementineport.FailureDomain(r.Name)
	if r.Kind == KindVM {
		out.VMs = updateOut(out.VMs, clementineport.VMID(r.Name), r.Action)
	} else {
		known := r.hasDomain(current.Text, domain) || slices.Contains(out.Domains, domain)
		if !known {
			return nil, out, "", clementineport.Fail(clementineport.FaultInvalid, "%q is not a failure domain of the estate", r.Name)
		}
		out.Domains = updateOut(out.Domains, domain, r.Action)
	}
	return current.Text, out, fmt.Sprintf("%s %s %s", r.Action, r.Kind, r.Name), nil
}

// updateOut returns the sorted list with the name added or removed.
func updateOut[T ~string](list []T, name T, action Action) []T {
	list = slices.DeleteFunc(list, func(other T) bool { return other == name })
	if action == TakeOut {
		list = append(list, name)
		slices.Sort(list)
	}
	return list
}

func checkOutRequest(r *OutRequest) error {
	switch {
	case r.Action != TakeOut && r.Action != BringBack:
		return clementineport.Fail(clementineport.FaultInvalid, "Action is %q; allowed: %s, %s", r.Action, TakeOut, BringBack)
	case r.Kind != KindVM && r.Kind != KindDomain:
		return clementineport.Fail(clementineport.FaultInvalid, "Kind is %q; allowed: %s, %s", r.Kind, KindVM, KindDomain)
	case r.Name == "":
		return clementineport.Fail(clementineport.FaultInvalid, "Name is empty")
	}
	return checkIdentity(r.ID, r.Author)
}

// Limits of the fields of a submission other than the text.
const (
	maxIDBytes     = 128
	maxAuthorBytes = 128
)

func checkIdentity(id clementineport.SubmissionID, author string) error {
	switch {
	case id == "" || len(id) > maxIDBytes:
		return clementineport.Fail(clementineport.FaultInvalid, "Submission needs 1 to %d bytes", maxIDBytes)
	case author == "" || len(author) > maxAuthorBytes:
		return clementineport.Fail(clementineport.FaultInvalid, "Author needs 1 to %d bytes", maxAuthorBytes)
	}
	return nil
}
