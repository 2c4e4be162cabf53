package cpconnect

import (
	"context"
	"net"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptoken"
)

// Limits of the connections between VMs.
const (
	defaultDialTimeout                    = time.Second
	defaultSendPingTimeout                = time.Second
	defaultPingTimeout                    = time.Second
	defaultMaxMessageSize                 = 8 << 20
	defaultHeartbeatInterval              = 50 * time.Millisecond
	defaultInactivityTimeout              = 250 * time.Millisecond
	defaultNonIdempotentInactivityTimeout = 5 * time.Second
)

// Options are the settings of a peer client or handler.
type Options struct {
	Address        string
	Token          cptoken.Token
	Clock          clementineport.Clock
	MaxMessageSize int
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HeartbeatInterval is how often a VM says that it is still working on a Relay.
	HeartbeatInterval time.Duration
	// InactivityTimeout is how long a Relay may bring nothing before it is given up.
	InactivityTimeout time.Duration
	// NonIdempotentInactivityTimeout is the same for calls that are not idempotent: they can't be sent again, so that giving
	// them up sooner loses answers of a slow VM and wins nothing.
	NonIdempotentInactivityTimeout time.Duration
	// Self is the id of this VM.
	Self clementineport.VMID
	// Revision returns the revision in force, which every call and answer carries.
	Revision func() clementineport.Revision
	// OnRevision is told the revision that a call or answer of another VM carries; from is empty in an answer.
	OnRevision func(r clementineport.Revision, from clementineport.VMID)
	// DecodeConfig and EncodeConfig translate the configuration to and from its stored form.
	DecodeConfig func([]byte) (*clementineport.Config, error)
	EncodeConfig func(*clementineport.Config) ([]byte, error)
	Tracer       Tracer
}

// Option changes Options.
type Option func(*Options)

// WithAddress sets the peer address to call.
func WithAddress(a string) Option { return func(o *Options) { o.Address = a } }

// WithToken sets the token that VMs show each other.
func WithToken(t cptoken.Token) Option { return func(o *Options) { o.Token = t } }

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithSelf sets the id of this VM.
func WithSelf(vm clementineport.VMID) Option { return func(o *Options) { o.Self = vm } }

// WithRevision sets the revision that this VM sends, and what is told of the revisions of others.
func WithRevision(revision func() clementineport.Revision, seen func(clementineport.Revision, clementineport.VMID)) Option {
	return func(o *Options) { o.Revision, o.OnRevision = revision, seen }
}

// WithCodec sets how a configuration is encoded.
func WithCodec(encode func(*clementineport.Config) ([]byte, error), decode func([]byte) (*clementineport.Config, error)) Option {
	return func(o *Options) { o.EncodeConfig, o.DecodeConfig = encode, decode }
}

// WithTracer sets how trace contexts cross processes.
func WithTracer(t Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithMaxMessageSize bounds a message in bytes.
func WithMaxMessageSize(n int) Option { return func(o *Options) { o.MaxMessageSize = n } }

// WithHeartbeat sets how often a receiver reports that it is working, and when the sender gives up on it.
func WithHeartbeat(interval, inactivityTimeout time.Duration) Option {
	return func(o *Options) { o.HeartbeatInterval, o.InactivityTimeout = interval, inactivityTimeout }
}

// WithDial sets how connections are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}
