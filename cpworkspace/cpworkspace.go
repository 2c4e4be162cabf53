// Package cpworkspace finds the workspace of a request by the key that the request presents, and decides whether the request
// is accepted. It reads no clock and makes no calls.
package cpworkspace

import (
	"time"

	"github.com/clementineport/clementineport"
)

// KeyState states whether a request presents a key.
type KeyState uint8

const (
	// KeyAbsent means that the request presents no key.
	KeyAbsent KeyState = iota
	// KeyMalformed means that the request presents something that can't be read as one key.
	KeyMalformed
	// KeyPresented means that the request presents a key.
	KeyPresented
)

// Presented is what a request presents as its key. It holds the hash of the key only.
type Presented struct {
	State KeyState
	Hash  clementineport.KeyHash
}

// Present returns what a request with a key presents. It hashes the key.
func Present(key string) Presented {
	return Presented{State: KeyPresented, Hash: clementineport.HashKey(key)}
}

// Outcome is the result of the authentication of a request.
type Outcome uint8

const (
	// OutcomeOff means that the configuration has no workspaces, so that requests need no keys.
	OutcomeOff Outcome = iota
	// OutcomeWorkspace means that the key determines a workspace.
	OutcomeWorkspace
	// OutcomeAnonymous means that the request has no valid key and needs none.
	OutcomeAnonymous
	// OutcomeUnauthorized means that the request needs a key and has no valid one.
	OutcomeUnauthorized
	// OutcomeStale means that the request needs a key, and this VM may lack the configuration that decides about it.
	OutcomeStale
)

var outcomeNames = [...]string{"off", "workspace", "anonymous", "unauthorized", "stale"}

// String returns the outcome as it is shown in metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Decision is the result of the authentication of a request. Workspace is empty unless the outcome is OutcomeWorkspace.
type Decision struct {
	Outcome   Outcome
	Workspace clementineport.WorkspaceID
	// reason describes an outcome that rejects the request. It contains nothing of what the request presented.
	reason string
}

// Err returns the error that rejects the request, or nil if it is accepted.
func (d Decision) Err() *clementineport.Error {
	switch d.Outcome {
	case OutcomeUnauthorized:
		return clementineport.Fail(clementineport.FaultUnauthorized, "%s", d.reason)
	case OutcomeStale:
		return clementineport.Fail(clementineport.FaultStale, "%s", d.reason)
	default:
		return nil
	}
}

// reasons describe why a request has no valid key.
var reasons = [...]string{
	KeyAbsent:    "the request has no key",
	KeyMalformed: "the key is malformed",
	KeyPresented: "the key is unknown",
}

// Authenticator decides whether requests are accepted. It is immutable.
type Authenticator struct{ options Options }

// New returns an authenticator.
func New(opts ...Option) *Authenticator { return &Authenticator{options: NewOptions(opts...)} }

// Authenticate decides about a request on a route by the workspaces of the newest configuration that this VM has. age is the
// time since that configuration was last known to be the newest.
func (a *Authenticator) Authenticate(workspaces *Index, route *clementineport.Route, key Presented, age time.Duration) Decision {
	if !workspaces.Required() {
		return Decision{}
	}
	if a.options.MaxKeyAge > 0 && age > a.options.MaxKeyAge && !route.Public {
		return Decision{Outcome: OutcomeStale, reason: "keys may have been revoked since this VM got its configuration"}
	}
	if w := workspaces.Find(key); w != nil {
		return Decision{Outcome: OutcomeWorkspace, Workspace: w.Name}
	}
	switch {
	case route.Public:
		return Decision{Outcome: OutcomeAnonymous}
	case age > a.options.StaleAfter:
		return Decision{Outcome: OutcomeStale, reason: reasons[key.State] + " to this VM, whose configuration may be outdated"}
	default:
		return Decision{Outcome: OutcomeUnauthorized, reason: reasons[key.State]}
	}
}
