package cpconnect

import (
	"context"
	"net"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptoken"
)

// Defaults of Options and timeouts of the connections.
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
	// HeartbeatInterval is how often the handler sends a heartbeat while a Relay is in progress.
	HeartbeatInterval time.Duration
	// InactivityTimeout is how long the client waits for the next message of a Relay before it cancels the call.
	InactivityTimeout time.Duration
	// NonIdempotentInactivityTimeout replaces InactivityTimeout for non-idempotent calls. They can't be retried, so
	// a shorter timeout would gain nothing and lose replies of a slow VM.
	NonIdempotentInactivityTimeout time.Duration
	// Self is the id of this VM.
	Self clementineport.VMID
	// Revision returns the revision in force. It is sent in forwarded queries and in responses to Relay.
	Revision func() clementineport.Revision
	// OnRevision is called with the revision in each Relay or Forward request and in each response to Relay; from is
	// empty for a response.
	OnRevision func(r clementineport.Revision, from clementineport.VMID)
	// StoreEra returns the era of the platform's store that this VM knows, for requests that state none.
	StoreEra func() clementineport.StoreEra
	// DecodeConfig and EncodeConfig convert the configuration from and to its stored form.
	DecodeConfig func([]byte) (*clementineport.Config, error)
	EncodeConfig func(*clementineport.Config) ([]byte, error)
	Tracer       Tracer
}

// Option changes Options.
type Option func(*Options)

// WithAddress sets the address of the peer.
func WithAddress(a string) Option { return func(o *Options) { o.Address = a } }

// WithToken sets the token that authenticates VMs to each other.
func WithToken(t cptoken.Token) Option { return func(o *Options) { o.Token = t } }

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithSelf sets the id of this VM.
func WithSelf(vm clementineport.VMID) Option { return func(o *Options) { o.Self = vm } }

// WithRevision sets the function that returns the revision of this VM and the one that receives those of other VMs.
func WithRevision(revision func() clementineport.Revision, onRevision func(clementineport.Revision, clementineport.VMID)) Option {
	return func(o *Options) { o.Revision, o.OnRevision = revision, onRevision }
}

// WithStoreEra sets the function that returns the era of the platform's store that this VM knows.
func WithStoreEra(era func() clementineport.StoreEra) Option {
	return func(o *Options) { o.StoreEra = era }
}

// WithCodec sets the functions that encode and decode a configuration.
func WithCodec(encode func(*clementineport.Config) ([]byte, error), decode func([]byte) (*clementineport.Config, error)) Option {
	return func(o *Options) { o.EncodeConfig, o.DecodeConfig = encode, decode }
}

// WithTracer sets the propagator of trace contexts.
func WithTracer(t Tracer) Option { return func(o *Options) { o.Tracer = t } }

// WithMaxMessageSize sets the maximum size of a message in bytes.
func WithMaxMessageSize(n int) Option { return func(o *Options) { o.MaxMessageSize = n } }

// WithHeartbeat sets the heartbeat interval of the handler and the inactivity timeout of the client for idempotent
// calls.
func WithHeartbeat(interval, inactivityTimeout time.Duration) Option {
	return func(o *Options) { o.HeartbeatInterval, o.InactivityTimeout = interval, inactivityTimeout }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}
