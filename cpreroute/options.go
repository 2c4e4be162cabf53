package cpreroute

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpreach"
)

const (
	// usedVMs is the number of other VMs that a VM has its requests run by.
	usedVMs = 8
	// maxVMs is the number of VMs that one request is sent to.
	maxVMs = 3
	// messageCopies is the number of copies of a request that exist while it is sent to another VM, or received from one, besides
	// the request itself.
	messageCopies = 2
	// replyMargin is the part of the time left that an answer needs from one VM to the other.
	replyMargin = 10 * time.Millisecond
	// DefaultRetryAfter is about the time between two attempts to reach targets.
	DefaultRetryAfter = 500 * time.Millisecond
)

// Peers returns clients of other VMs.
type Peers interface {
	Get(vm clementineport.VM) clementineport.Peer
	// Retain closes the clients of VMs that are not among members.
	Retain(members []clementineport.Member)
}

// Options are the settings of a Sender and a Receiver.
type Options struct {
	Clock clementineport.Clock
	// View returns the newest view of the fleet.
	View func() *cpfleetstate.View
	// Reach tracks whether this VM reaches targets.
	Reach *cpreach.Tracker
	// Forward runs a request on targets.
	Forward forwardFunc
	// Stay runs a request on targets although this VM reaches them only over open connections.
	Stay forwardFunc
	// SpendRetry takes a retry to each of the services from the budget of this VM.
	SpendRetry func(services []clementineport.ServiceID) bool
	Peers      Peers
	// Requests counts the requests that this VM runs for others, and ends them in a shutdown.
	Requests *cpdrain.Requests
	// Admit returns nil if this VM accepts new requests, and otherwise the error that rejects them.
	Admit func() *clementineport.Error
	// AdmitRequest returns nil if this VM accepts a request on a route with a deadline, and otherwise the error that rejects it.
	AdmitRequest func(route *clementineport.Route, deadline time.Time) *clementineport.Error
	// OnSent is called when a request that was sent to another VM has ended, with its error if it failed.
	OnSent func(r *clementineport.ReroutedRequest, to clementineport.VMID, err *clementineport.Error, elapsed time.Duration)
	// OnReceived is called when a request of another VM has ended.
	OnReceived func(r *clementineport.ReroutedRequest, result *cpforward.Result, elapsed time.Duration)
	// OnNewerRoutes is called when another VM has handled a request by a version of the routes that is newer than this VM's and
	// than all before. It must not block.
	OnNewerRoutes func(vm clementineport.VM, version clementineport.Revision)
	// NewAccount returns the account of the memory of a request of another VM, and a function to call when the request has ended.
	NewAccount func() (account clementineport.MemoryAccount, end func())
	// RetryAfter is the retry delay of a request that no VM can run.
	RetryAfter time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:         clockwork.NewRealClock(),
		Requests:      cpdrain.NewRequests(),
		SpendRetry:    func([]clementineport.ServiceID) bool { return false },
		AdmitRequest:  func(*clementineport.Route, time.Time) *clementineport.Error { return nil },
		Admit:         func() *clementineport.Error { return nil },
		OnSent:        func(*clementineport.ReroutedRequest, clementineport.VMID, *clementineport.Error, time.Duration) {},
		OnReceived:    func(*clementineport.ReroutedRequest, *cpforward.Result, time.Duration) {},
		OnNewerRoutes: func(clementineport.VM, clementineport.Revision) {},
		NewAccount:    func() (clementineport.MemoryAccount, func()) { return clementineport.Unlimited{}, func() {} },
		RetryAfter:    DefaultRetryAfter,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithView sets the function that returns the newest view of the fleet.
func WithView(view func() *cpfleetstate.View) Option { return func(o *Options) { o.View = view } }

// WithReach sets the tracker of whether this VM reaches targets.
func WithReach(t *cpreach.Tracker) Option { return func(o *Options) { o.Reach = t } }

// forwardFunc runs a request on targets.
type forwardFunc = func(context.Context, *clementineport.Route, *clementineport.OpaqueRequest) *cpforward.Result

// WithForward sets the function that runs a request on targets, the one that does so while only open connections work, and the
// one that takes retries from the budget.
func WithForward(forward, stay forwardFunc, spendRetry func([]clementineport.ServiceID) bool) Option {
	return func(o *Options) { o.Forward, o.Stay, o.SpendRetry = forward, stay, spendRetry }
}

// WithPeers sets the clients of other VMs.
func WithPeers(p Peers) Option { return func(o *Options) { o.Peers = p } }

// WithRequests sets what counts the requests that this VM runs for others, and ends them in a shutdown.
func WithRequests(q *cpdrain.Requests) Option { return func(o *Options) { o.Requests = q } }

// WithAdmit sets the function that decides whether new requests are accepted.
func WithAdmit(admit func() *clementineport.Error) Option {
	return func(o *Options) { o.Admit = admit }
}

// WithAdmitRequest sets the function that decides whether a request on a route is accepted.
func WithAdmitRequest(admit func(*clementineport.Route, time.Time) *clementineport.Error) Option {
	return func(o *Options) { o.AdmitRequest = admit }
}

// WithNewAccount sets the function that returns the account of the memory of a request of another VM, and what ends it.
func WithNewAccount(f func() (account clementineport.MemoryAccount, end func())) Option {
	return func(o *Options) { o.NewAccount = f }
}

// WithOnSent sets the function that is called when a request that was sent to another VM has ended.
func WithOnSent(f func(*clementineport.ReroutedRequest, clementineport.VMID, *clementineport.Error, time.Duration)) Option {
	return func(o *Options) { o.OnSent = f }
}

// WithOnReceived sets the function that is called when a request of another VM has ended.
func WithOnReceived(f func(*clementineport.ReroutedRequest, *cpforward.Result, time.Duration)) Option {
	return func(o *Options) { o.OnReceived = f }
}

// WithOnNewerRoutes sets the function that is called when another VM has handled a request by newer routes than this VM's.
func WithOnNewerRoutes(f func(clementineport.VM, clementineport.Revision)) Option {
	return func(o *Options) { o.OnNewerRoutes = f }
}
