package cpoperator

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cptoken"
)

// Options are the settings of a Handler.
type Options struct {
	Submitter Submitter
	// Current returns the configuration in force, or nil.
	Current func() *clementineport.Config
	// OnAccepted is told of each accepted change, so that it can be put in force at once.
	OnAccepted func(*cpsubmit.Result)
	Token      cptoken.Token
	// Timeout bounds one change.
	Timeout time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithSubmitter sets what makes changes.
func WithSubmitter(s Submitter) Option { return func(o *Options) { o.Submitter = s } }

// WithCurrent sets the source of the configuration in force.
func WithCurrent(current func() *clementineport.Config) Option {
	return func(o *Options) { o.Current = current }
}

// WithOnAccepted sets what is told of each accepted change.
func WithOnAccepted(accepted func(*cpsubmit.Result)) Option {
	return func(o *Options) { o.OnAccepted = accepted }
}

// WithToken sets the operators' token.
func WithToken(token cptoken.Token) Option { return func(o *Options) { o.Token = token } }

// WithTimeout bounds one change.
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
