package cpoperator

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cptoken"
)

// Options configures a Handler.
type Options struct {
	Submitter Submitter
	// Current returns the configuration in force, or nil.
	Current func() *clementineport.Config
	// OnAccepted is called with each accepted change, so that it can be put in force immediately.
	OnAccepted func(*cpsubmit.Result)
	Token      cptoken.Token
	// Timeout limits the duration of one change.
	Timeout time.Duration
}

// Option sets a field of Options.
type Option func(*Options)

// WithSubmitter sets the Submitter.
func WithSubmitter(s Submitter) Option { return func(o *Options) { o.Submitter = s } }

// WithCurrent sets the function that returns the configuration in force.
func WithCurrent(current func() *clementineport.Config) Option {
	return func(o *Options) { o.Current = current }
}

// WithOnAccepted sets the function to call with each accepted change.
func WithOnAccepted(accepted func(*cpsubmit.Result)) Option {
	return func(o *Options) { o.OnAccepted = accepted }
}

// WithToken sets the operators' token.
func WithToken(token cptoken.Token) Option { return func(o *Options) { o.Token = token } }

// WithTimeout limits the duration of one change.
func WithTimeout(timeout time.Duration) Option { return func(o *Options) { o.Timeout = timeout } }

func newOptions(opts []Option) Options {
	o := Options{
		Current:    func() *clementineport.Config { return nil },
		OnAccepted: func(*cpsubmit.Result) {},
		Timeout:    defaultTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
