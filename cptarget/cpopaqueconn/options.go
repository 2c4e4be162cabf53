package cpopaqueconn

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Defaults of Options.
const (
	// DefaultDialTimeout is short so that a retry elsewhere starts soon, although a handshake that loses a packet may
	// not complete within it.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout is shorter than the idle timeout of common servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultConnections allows one request at a time.
	DefaultConnections = 1
)

// Options are the settings of a Pool.
type Options struct {
	Clock   clementineport.Clock
	Address string
	// Connections is the maximum number of open connections.
	Connections int
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept that was opened and not used.
	IdleTimeout time.Duration
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called when a connection was opened.
	OnConnect func()
	// OnExtra is called with the bytes that an idle connection has received.
	OnExtra func([]byte)
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock: clockwork.NewRealClock(), Connections: DefaultConnections, DialTimeout: DefaultDialTimeout,
		IdleTimeout: DefaultIdleTimeout, Dial: (&net.Dialer{KeepAlive: -1}).DialContext, OnExtra: func([]byte) {},
		OnConnect: func() {},
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithAddress sets the address of the target.
func WithAddress(address string) Option { return func(o *Options) { o.Address = address } }

// WithConnections sets the maximum number of open connections.
func WithConnections(n int) Option { return func(o *Options) { o.Connections = n } }

// WithTimeouts sets the time to open a connection, and how long one is kept that was opened and not used.
func WithTimeouts(dial, idle time.Duration) Option {
	return func(o *Options) { o.DialTimeout, o.IdleTimeout = dial, idle }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}

// WithOnConnect sets the function that is called when a connection was opened.
func WithOnConnect(f func()) Option { return func(o *Options) { o.OnConnect = f } }

// WithOnExtra sets the function that is called with the bytes that an idle connection has received.
func WithOnExtra(f func([]byte)) Option { return func(o *Options) { o.OnExtra = f } }
