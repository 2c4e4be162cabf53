package cpoperatorclient

import (
	"time"

	"github.com/clementineport/clementineport/cptoken"
)

// Defaults of Options.
const (
	DefaultTimeout      = 15 * time.Second
	DefaultPollInterval = 100 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Addresses are the operator addresses of entries; each call tries them in turn.
	Addresses []string
	Token     cptoken.Token
	// Timeout limits the duration of one request to one address.
	Timeout time.Duration
	// PollInterval is the time between the status requests of WaitInForce.
	PollInterval time.Duration
}

// Option sets a field of Options.
type Option func(*Options)

// WithAddresses sets the operator addresses of entries.
func WithAddresses(addresses []string) Option { return func(o *Options) { o.Addresses = addresses } }

// WithToken sets the operators' token.
func WithToken(token cptoken.Token) Option { return func(o *Options) { o.Token = token } }

func newOptions(opts []Option) Options {
	o := Options{Timeout: DefaultTimeout, PollInterval: DefaultPollInterval}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
