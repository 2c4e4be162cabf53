package cpopaque

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget/cpopaqueconn"
)

// Options are the settings of a Client.
type Options struct {
	Clock       clementineport.Clock
	HeaderNames HeaderNames
	// Target is the ID that the process at Address must have.
	Target  clementineport.TargetID
	Address string
	// Connections is the maximum number of open connections.
	Connections int
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the target reports no timeout or a longer one.
	IdleTimeout time.Duration
	// IdleMargin is how long before the target's own timeout an idle connection expires.
	IdleMargin time.Duration
	// MaxHeaderBytes limits the size of the head of a response, with the 1xx responses before it.
	MaxHeaderBytes int64
	// MaxResponseBytes limits the size of a response body.
	MaxResponseBytes int64
	// ReadBudget bounds what this client and others read of large responses at the same time.
	ReadBudget *ReadBudget
	// RequireEcho rejects a successful response that does not echo the ID of the request.
	RequireEcho bool
	// Notice is what the target has asked of an earlier client.
	Notice clementineport.TargetNotice
	// OnConnect is called when a connection to the target was opened.
	OnConnect func()
	// OnLeaving is called when the target states for the first time that it is shutting down.
	OnLeaving func()
	// OnLimit is called when the target states how many requests a second it takes from all VMs together, or no longer does.
	// It is called again from time to time while the limit lasts.
	OnLimit func(limited bool, rate clementineport.RequestRate)
	// OnInvalidLimit is called when the target states a limit that can't be read.
	OnInvalidLimit func(stated string)
	// OnClosed is called when the target, which accepted requests, asks for none for a time.
	OnClosed func(d time.Duration)
	// OnInvalidRetryAfter is called when the target states a time that can't be read or is too long, with the time that is
	// used in its place.
	OnInvalidRetryAfter func(stated string, used time.Duration)
	// Random returns a random number in [0, 1).
	Random func() float64
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// dropped are the headers of the caller that are not sent: those that the client sets itself and those that apply
	// only to one connection.
	dropped map[string]bool
}

// Defaults of Options.
const (
	// DefaultIdleMargin is the longest time that a request is expected to take to arrive at the target.
	DefaultIdleMargin = 500 * time.Millisecond
	// DefaultMaxHeaderBytes is several times the limit of common servers and clients.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultMaxResponseBytes is several times the size of the largest expected response of one target.
	DefaultMaxResponseBytes = 4 << 20
	// DefaultReadBudget is the budget of a client that shares none.
	DefaultReadBudget = 4 * DefaultMaxResponseBytes
)

// connectionHeaders are hop-by-hop headers and those that are derived from the request. They are not forwarded.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Host",
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options with opts applied.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:            clockwork.NewRealClock(),
		Connections:      cpopaqueconn.DefaultConnections,
		DialTimeout:      cpopaqueconn.DefaultDialTimeout,
		IdleTimeout:      cpopaqueconn.DefaultIdleTimeout,
		IdleMargin:       DefaultIdleMargin,
		MaxHeaderBytes:   DefaultMaxHeaderBytes,
		MaxResponseBytes: DefaultMaxResponseBytes,
		OnConnect:        func() {},
		OnLeaving:        func() {},
		OnLimit:          func(bool, clementineport.RequestRate) {},
		OnInvalidLimit:   func(string) {},
		OnClosed:         func(time.Duration) {},
		Random:           rand.Float64,
		Dial:             cpopaqueconn.NewOptions().Dial,

		OnInvalidRetryAfter: func(string, time.Duration) {},
	}
	for _, o := range opts {
		o(&options)
	}
	if options.ReadBudget == nil {
		options.ReadBudget = NewReadBudget(DefaultReadBudget)
	}
	options.dropped = map[string]bool{}
	for _, name := range connectionHeaders {
		options.dropped[name] = true
	}
	names := &options.HeaderNames
	for _, name := range []string{names.Request, names.TimeLeft, names.Instance} {
		options.dropped[http.CanonicalHeaderKey(name)] = true
	}
	return options
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithHeaderNames sets the names of the headers of the target protocol.
func WithHeaderNames(n HeaderNames) Option { return func(o *Options) { o.HeaderNames = n } }

// WithTarget sets the address of the target and the ID of the process that is expected there.
func WithTarget(id clementineport.TargetID, address string) Option {
	return func(o *Options) { o.Target, o.Address = id, address }
}

// WithConnections sets the maximum number of open connections.
func WithConnections(n int) Option { return func(o *Options) { o.Connections = n } }

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithIdleTimeout sets how long an idle connection is kept if the target reports no timeout or a longer one.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

// WithMaxResponseBytes limits the size of a response body.
func WithMaxResponseBytes(n int64) Option { return func(o *Options) { o.MaxResponseBytes = n } }

// WithReadBudget sets the budget of large responses, which several clients may share.
func WithReadBudget(b *ReadBudget) Option { return func(o *Options) { o.ReadBudget = b } }

// WithRequireEcho sets whether a successful response that does not echo the ID of the request is rejected.
func WithRequireEcho(on bool) Option { return func(o *Options) { o.RequireEcho = on } }

// WithNotice sets what the target has asked of an earlier client.
func WithNotice(n clementineport.TargetNotice) Option { return func(o *Options) { o.Notice = n } }

// WithOnConnect sets the function that is called when a connection to the target was opened.
func WithOnConnect(f func()) Option { return func(o *Options) { o.OnConnect = f } }

// WithOnLeaving sets the function that is called when the target states for the first time that it is shutting down.
func WithOnLeaving(f func()) Option { return func(o *Options) { o.OnLeaving = f } }

// WithOnLimit sets the function that is called with the limit that the target states.
func WithOnLimit(f func(limited bool, rate clementineport.RequestRate)) Option {
	return func(o *Options) { o.OnLimit = f }
}

// WithOnInvalidLimit sets the function that is called when the target states a limit that can't be read.
func WithOnInvalidLimit(f func(stated string)) Option {
	return func(o *Options) { o.OnInvalidLimit = f }
}

// WithOnClosed sets the function that is called when the target, which accepted requests, asks for none for a time.
func WithOnClosed(f func(d time.Duration)) Option { return func(o *Options) { o.OnClosed = f } }

// WithOnInvalidRetryAfter sets the function that is called when the target states a time that can't be read or is too long.
func WithOnInvalidRetryAfter(f func(stated string, used time.Duration)) Option {
	return func(o *Options) { o.OnInvalidRetryAfter = f }
}

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(o *Options) { o.Random = random } }

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}
