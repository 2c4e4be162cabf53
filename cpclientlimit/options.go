package cpclientlimit

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Defaults of Options.
const (
	// DefaultMaxBytes is the limit if the memory of the machine is not known.
	DefaultMaxBytes = 64 << 20
	// DefaultMinStall is longer than the pauses of a client that sends steadily over a link with little loss.
	DefaultMinStall = 250 * time.Millisecond
	// DefaultMinIdle is longer than ordinary clients pause within the head of a request.
	DefaultMinIdle = 100 * time.Millisecond
	// DefaultMaxWait is long enough for connections that have fallen behind to be closed.
	DefaultMaxWait = 600 * time.Millisecond
	// DefaultWriteTimeout is many times longer than callers wait for an answer.
	DefaultWriteTimeout = 30 * time.Second
	// DefaultRestTimeout is enough for the rest of a request that was sent at once.
	DefaultRestTimeout = 500 * time.Millisecond
)

const (
	// minRate is the rate, in bytes a second, below which a client falls behind with its request or with the answer.
	minRate = 4 << 10
	// smallShare is the part of the bytes that is kept for requests of at most smallBytes.
	smallShare = 0.125
	smallBytes = 32 << 10
	// minPause is the least time between two searches for a connection to close.
	minPause = 5 * time.Millisecond
)

// ConnectionBytes is the memory that an open connection takes without a request: its buffers here and in the kernel.
const ConnectionBytes = 24<<10 + ReceiveBufferBytes

// ReceiveBufferBytes is the size of the kernel's receive buffer of a connection.
const ReceiveBufferBytes = 32 << 10

// Options are the settings of a Limiter.
type Options struct {
	Clock clementineport.Clock
	// MaxBytes limits the bytes that the requests of all clients hold at once.
	MaxBytes int64
	// MinStall is how far a client must have fallen behind with a body or an answer before its connection may be closed to make
	// room. MinIdle is the same for the head of a request, and how long the connection must have been idle.
	MinStall, MinIdle time.Duration
	// MaxWait limits how long a request waits for room.
	MaxWait time.Duration
	// WriteTimeout limits how long a client may take no byte of an answer.
	WriteTimeout time.Duration
	// RestTimeout limits how long the rest of a request is awaited that is refused or whose body is not needed.
	RestTimeout time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock: clockwork.NewRealClock(), MaxBytes: DefaultMaxBytes, MinStall: DefaultMinStall, MinIdle: DefaultMinIdle, MaxWait: DefaultMaxWait,
		WriteTimeout: DefaultWriteTimeout, RestTimeout: DefaultRestTimeout,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithMaxBytes limits the bytes that the requests of all clients hold at once.
func WithMaxBytes(n int64) Option { return func(o *Options) { o.MaxBytes = n } }

// WithMinStall sets how far a client must have fallen behind with a body or an answer, and with a head or while it is idle, before
// its connection may be closed to make room.
func WithMinStall(body, head time.Duration) Option {
	return func(o *Options) { o.MinStall, o.MinIdle = body, head }
}

// WithMaxWait limits how long a request waits for room.
func WithMaxWait(d time.Duration) Option { return func(o *Options) { o.MaxWait = d } }

// WithWriteTimeout limits how long a client may take no byte of an answer.
func WithWriteTimeout(d time.Duration) Option { return func(o *Options) { o.WriteTimeout = d } }

// WithRestTimeout limits how long the rest of a request is awaited that is refused or whose body is not needed.
func WithRestTimeout(d time.Duration) Option { return func(o *Options) { o.RestTimeout = d } }
