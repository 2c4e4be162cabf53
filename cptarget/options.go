package cptarget

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Options are the settings of a Memory target.
type Options struct {
	Clock   clementineport.Clock
	Signals clementineport.Signals
	// ServiceTime is how long a call takes.
	ServiceTime time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options with opts applied.
func NewOptions(opts ...Option) Options {
	o := Options{
		Clock: clockwork.NewRealClock(),
		Signals: clementineport.Signals{
			Start: "start-1",
			Held:  []clementineport.Snapshot{{Version: 1, Layout: 1}},
		},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Clock sets the clock.
func Clock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// Signals sets the signals that the target reports.
func Signals(s clementineport.Signals) Option { return func(o *Options) { o.Signals = s } }

// ServiceTime sets how long a call takes.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }
