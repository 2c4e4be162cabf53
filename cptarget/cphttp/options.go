package cphttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Options are the settings of a Client.
type Options struct {
	Clock clementineport.Clock
	// Address is the host and port of the target.
	Address string
	// Connections is the maximum number of connections that may be open to the target.
	Connections int
	// Concurrency is the maximum number of connections that are in use or idle; zero means Connections. A lower value
	// leaves part of the share for replacing stalled connections.
	Concurrency int
	// MaxResponseBytes limits the size of a response body.
	MaxResponseBytes int64
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// CloseDelay is how long an ordinary connection counts as open at the target after it was closed.
	CloseDelay time.Duration
	// Linger is how long a stalled connection counts as open at the target after it was closed.
	Linger time.Duration
	// SpareTimeout is how long a connection that was opened to replace that of a canceled call may stay unused;
	// zero opens none.
	SpareTimeout time.Duration
	// HTTP2 selects unencrypted HTTP/2, with which calls share connections and a canceled call closes none.
	HTTP2 bool
	// StallDetection is the rule that detects stalled connections.
	StallDetection StallRule
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Probe limits new connections to one call at a time after the target closed a connection, until one is answered.
	Probe bool
	// OnTargetClose is called when the target closes a connection, before the client opens another.
	OnTargetClose func()
	// MaySend is called just before bytes are written; an error fails the call.
	MaySend func() error
	// Header adds headers to a call, such as the trace context.
	Header func(ctx context.Context, h http.Header)
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options with opts applied.
func NewOptions(opts ...Option) Options {
	o := Options{
		Clock:            clockwork.NewRealClock(),
		Connections:      8,
		MaxResponseBytes: 4 << 20,
		DialTimeout:      time.Second,
		CloseDelay:       100 * time.Millisecond,
		Linger:           2 * time.Second,
		SpareTimeout:     2 * time.Second,
		StallDetection:   DefaultStallRule(),
		Dial:             (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext,
		MaySend:          func() error { return nil },
		Probe:            true,
		OnTargetClose:    func() {},
		Header:           func(context.Context, http.Header) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Clock sets the clock.
func Clock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// Address sets the host and port of the target.
func Address(a string) Option { return func(o *Options) { o.Address = a } }

// Connections sets the maximum number of connections that may be open to the target.
func Connections(n int) Option { return func(o *Options) { o.Connections = n } }

// Concurrency sets the maximum number of connections that are in use or idle; zero means Connections.
func Concurrency(n int) Option { return func(o *Options) { o.Concurrency = n } }

// MaxResponseBytes limits the size of a response body.
func MaxResponseBytes(n int64) Option { return func(o *Options) { o.MaxResponseBytes = n } }

// DialTimeout limits the time to open a connection.
func DialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// Linger sets how long a stalled connection counts as open at the target after it was closed.
func Linger(d time.Duration) Option { return func(o *Options) { o.Linger = d } }

// SpareTimeout sets how long a connection that was opened in advance may stay unused; zero opens none.
func SpareTimeout(d time.Duration) Option { return func(o *Options) { o.SpareTimeout = d } }

// HTTP2 selects unencrypted HTTP/2, which the target must accept without an upgrade.
func HTTP2(on bool) Option { return func(o *Options) { o.HTTP2 = on } }

// StallDetection sets the rule that detects stalled connections.
func StallDetection(s StallRule) Option { return func(o *Options) { o.StallDetection = s } }

// Probe sets whether new connections are limited to one call at a time after the target closed a connection.
func Probe(on bool) Option { return func(o *Options) { o.Probe = on } }

// OnTargetClose sets the function that is called when the target closes a connection, before the client opens another.
func OnTargetClose(f func()) Option { return func(o *Options) { o.OnTargetClose = f } }

// MaySend sets the function that is called just before bytes are written; an error fails the call.
func MaySend(f func() error) Option { return func(o *Options) { o.MaySend = f } }

// Header sets a function that adds headers to each call, such as the trace context.
func Header(f func(ctx context.Context, h http.Header)) Option {
	return func(o *Options) { o.Header = f }
}
