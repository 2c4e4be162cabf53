package cpratelimit

import (
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

const (
	// callTimeout is longer than short pauses of a coordinator, and shorter than the lifetime of a token.
	callTimeout = 300 * time.Millisecond
	// tickPeriod is short against the time between two calls that renew a binding.
	tickPeriod = 100 * time.Millisecond
	// retainPeriod is the time between two checks for connections to VMs that are gone.
	retainPeriod = time.Minute
	// minWake is the shortest time between two checks of waiting requests by the timer.
	minWake = time.Millisecond
	// tokenWaitShare is the share of the objective for which a request waits for a token. A refusal leaves its caller enough time to
	// come back. minTokenWait covers some round trips to the coordinator, and maxTokenWait bounds the number of waiting requests.
	tokenWaitShare = 0.25
	minTokenWait   = 20 * time.Millisecond
	maxTokenWait   = 100 * time.Millisecond
	// maxCollecting is the number of calls to idle VMs under way at the same time.
	maxCollecting = 16
)

// Peers returns clients of other VMs.
type Peers interface {
	Get(vm clementineport.VM) clementineport.Peer
	// Retain closes the clients of VMs that are not among members.
	Retain(members []clementineport.Member)
}

// Options are the settings of a Limiter.
type Options struct {
	// Clock must go on while the machine is suspended.
	Clock clementineport.Clock
	Self  clementineport.Member
	// View returns the newest view of the fleet.
	View  func() *cpfleetstate.View
	Peers Peers
	// Forward runs a request that has a token.
	Forward ForwardFunc
	Bounds  cpquotas.Bounds
	Salt    uint64
	Log     *zap.Logger
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{Clock: NewBootClock(), Log: zap.NewNop()}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSelf sets the member record of this VM.
func WithSelf(m clementineport.Member) Option { return func(o *Options) { o.Self = m } }

// WithView sets the function that returns the newest view of the fleet.
func WithView(view func() *cpfleetstate.View) Option { return func(o *Options) { o.View = view } }

// WithPeers sets the clients of other VMs.
func WithPeers(p Peers) Option { return func(o *Options) { o.Peers = p } }

// WithForward sets the function that runs a request that has a token.
func WithForward(f ForwardFunc) Option { return func(o *Options) { o.Forward = f } }

// WithBounds sets the bounds that quotas are kept to. Without a window, there are no quotas.
func WithBounds(b cpquotas.Bounds) Option { return func(o *Options) { o.Bounds = b } }

// WithSalt sets a random number that differs between processes.
func WithSalt(salt uint64) Option { return func(o *Options) { o.Salt = salt } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(o *Options) { o.Log = l } }
