package cprelay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
)

const defaultRouteBackoff = time.Second

// Options are the settings of a Sender.
type Options struct {
	Self  clementineport.VMID
	Clock clementineport.Clock
	// Local makes the calls to the targets that this VM owns.
	Local Relayer
	// RouteBackoff is how long a VM is avoided after it failed a relay.
	RouteBackoff time.Duration
	// OnSuccess is called after a relay through another VM succeeded; start is when the relay began.
	OnSuccess func(vm clementineport.VMID, start time.Time)
	// OnFailure is called after a relay through another VM failed.
	OnFailure func(vm clementineport.VMID)
	Metrics   *Metrics
}

// Option changes Options.
type Option func(*Options)

// WithSelf sets the ID of this VM.
func WithSelf(vm clementineport.VMID) Option { return func(o *Options) { o.Self = vm } }

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLocal sets the Relayer for the targets that this VM owns.
func WithLocal(r Relayer) Option { return func(o *Options) { o.Local = r } }

// WithRouteBackoff sets how long a VM is avoided after it failed a relay.
func WithRouteBackoff(d time.Duration) Option { return func(o *Options) { o.RouteBackoff = d } }

// WithObserver sets the functions that are called after a relay through another VM succeeded or failed.
func WithObserver(onSuccess func(clementineport.VMID, time.Time), onFailure func(clementineport.VMID)) Option {
	return func(o *Options) { o.OnSuccess, o.OnFailure = onSuccess, onFailure }
}

// WithMetrics registers the counters in set.
func WithMetrics(set *metrics.Set) Option { return func(o *Options) { o.Metrics = newMetrics(set) } }

func newOptions(opts []Option) Options {
	o := Options{
		RouteBackoff: defaultRouteBackoff,
		OnSuccess:    func(clementineport.VMID, time.Time) {},
		OnFailure:    func(clementineport.VMID) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Metrics == nil {
		o.Metrics = newMetrics(metrics.NewSet())
	}
	return o
}

// Metrics counts relays.
type Metrics struct {
	LocalCalls    *metrics.Counter
	RemoteCalls   *metrics.Counter
	RouteFailures *metrics.Counter
}

func newMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		LocalCalls:    set.GetOrCreateCounter(`clementineport_relay_calls_total{route="local"}`),
		RemoteCalls:   set.GetOrCreateCounter(`clementineport_relay_calls_total{route="peer"}`),
		RouteFailures: set.GetOrCreateCounter(`clementineport_relay_route_failures_total`),
	}
}

func (m *Metrics) sent(calls int, self bool) {
	if self {
		m.LocalCalls.Add(calls)
		return
	}
	m.RemoteCalls.Add(calls)
}
