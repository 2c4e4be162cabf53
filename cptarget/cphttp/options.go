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
	// Connections is the most connections that may be open to the target.
	Connections int
	// Concurrency is the most connections in use or kept for use; zero means as many as Connections. Fewer
	// kept connections leave more of the share to replace silent ones.
	Concurrency int
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// CloseDelay is how long a closed connection counts as open at the target.
	CloseDelay time.Duration
	// Linger is how long a connection that went silent counts as open at the target.
	Linger time.Duration
	// SpareTimeout is how long a connection that was opened in place of a canceled one waits to be used;
	// zero opens none.
	SpareTimeout time.Duration
	// HTTP2 uses unencrypted HTTP/2, where calls share connections and a canceled call closes none.
	HTTP2 bool
	// StallDetection decides which connections are silent.
	StallDetection StallRule
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Probe sends one call at a time after the target has closed a connection, until it answers.
	Probe bool
	// OnTargetClose is called when the target closes a connection, before the client makes another.
	OnTargetClose func()
	// MaySend is asked just before bytes are written; its error fails the call.
	MaySend func() error
	// Header adds headers to a call, such as those of a trace.
	Header func(ctx context.Context, h http.Header)
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
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

// Connections sets the most connections that may be open to the target.
func Connections(n int) Option { return func(o *Options) { o.Connections = n } }

// Concurrency sets the most connections in use or kept for use.
func Concurrency(n int) Option { return func(o *Options) { o.Concurrency = n } }

// MaxResponseBytes bounds the body of a response.
func MaxResponseBytes(n int64) Option { return func(o *Options) { o.MaxResponseBytes = n } }

// DialTimeout bounds the time to open a connection.
func DialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// Linger sets how long a connection that went silent counts as open at the target.
func Linger(d time.Duration) Option { return func(o *Options) { o.Linger = d } }

// SpareTimeout sets how long a connection opened ahead of need waits to be used; zero opens none.
func SpareTimeout(d time.Duration) Option { return func(o *Options) { o.SpareTimeout = d } }

// HTTP2 uses unencrypted HTTP/2, which the target must accept without an upgrade.
func HTTP2(on bool) Option { return func(o *Options) { o.HTTP2 = on } }

// StallDetection sets the rule for silent connections.
func StallDetection(s StallRule) Option { return func(o *Options) { o.StallDetection = s } }

// Probe sets whether one call at a time is sent after the target has closed a connection.
func Probe(on bool) Option { return func(o *Options) { o.Probe = on } }

// OnTargetClose sets what is called when the target closes a connection, before the client makes another.
func OnTargetClose(f func()) Option { return func(o *Options) { o.OnTargetClose = f } }

// MaySend sets what is asked just before bytes are written.
func MaySend(f func() error) Option { return func(o *Options) { o.MaySend = f } }

// Header adds headers to each call, such as those of a trace.
func Header(f func(ctx context.Context, h http.Header)) Option {
	return func(o *Options) { o.Header = f }
}
