package cpopaque

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
	Clock       clementineport.Clock
	HeaderNames HeaderNames
	// Target is the id that the process at the address must have.
	Target  clementineport.TargetID
	Address string
	// Connections is the most connections that may be open.
	Connections int
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept when the target names no time.
	IdleTimeout time.Duration
	// IdleMargin is how long before the target's own timeout an idle connection is closed.
	IdleMargin time.Duration
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
	// RequireEcho rejects a success that does not repeat the id of the request.
	RequireEcho bool
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// replaced are the headers of the caller that the client sets itself, or that concern one connection only.
	replaced map[string]bool
}

// Defaults of Options.
const (
	// DefaultDialTimeout covers a lost packet of the handshake less often than it delays a retry elsewhere.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout is shorter than the idle timeout of common servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultIdleMargin is the longest that a request may be on its way to the target.
	DefaultIdleMargin = 500 * time.Millisecond
	// DefaultMaxResponseBytes is a multiple of the largest answer of one target.
	DefaultMaxResponseBytes = 4 << 20
	// DefaultConnections lets one request at a time run.
	DefaultConnections = 1
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Host",
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:            clockwork.NewRealClock(),
		Connections:      DefaultConnections,
		DialTimeout:      DefaultDialTimeout,
		IdleTimeout:      DefaultIdleTimeout,
		IdleMargin:       DefaultIdleMargin,
		MaxResponseBytes: DefaultMaxResponseBytes,
		Dial:             (&net.Dialer{KeepAlive: -1}).DialContext,
	}
	for _, o := range opts {
		o(&options)
	}
	options.replaced = map[string]bool{}
	for _, name := range connectionHeaders {
		options.replaced[name] = true
	}
	names := &options.HeaderNames
	for _, name := range []string{names.Request, names.TimeLeft, names.Instance} {
		options.replaced[http.CanonicalHeaderKey(name)] = true
	}
	return options
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithHeaderNames sets the headers of the protocol.
func WithHeaderNames(n HeaderNames) Option { return func(o *Options) { o.HeaderNames = n } }

// WithTarget sets the address and the process expected there.
func WithTarget(id clementineport.TargetID, address string) Option {
	return func(o *Options) { o.Target, o.Address = id, address }
}

// WithConnections sets the most connections that may be open.
func WithConnections(n int) Option { return func(o *Options) { o.Connections = n } }

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(o *Options) { o.DialTimeout = d } }

// WithIdleTimeout sets how long an idle connection is kept when the target names no time.
func WithIdleTimeout(d time.Duration) Option { return func(o *Options) { o.IdleTimeout = d } }

// WithMaxResponseBytes bounds the body of a response.
func WithMaxResponseBytes(n int64) Option { return func(o *Options) { o.MaxResponseBytes = n } }

// WithRequireEcho rejects a success that does not repeat the id of the request.
func WithRequireEcho(on bool) Option { return func(o *Options) { o.RequireEcho = on } }

// WithDial sets how connections are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}
