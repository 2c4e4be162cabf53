// Package cpmetrics counts what the control loop of a VM does and logs its changes of state. It decides nothing.
package cpmetrics

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpview"
)

// Metrics are the counters and the log of one control loop. Any goroutine may raise the counters; the methods are
// for the loop alone.
type Metrics struct {
	log    *zap.Logger
	size   func(*clementineport.Digest) int
	states map[clementineport.VMID]clementineport.MemberState

	sentBytes, receivedBytes       *metrics.Counter
	sentMessages, receivedMessages *metrics.Counter
	rejected, lowered              *metrics.Counter

	// ExchangeFailures counts exchanges that were not answered.
	ExchangeFailures *metrics.Counter
	// StoreReads, StoreWatches and StoreFailures count calls of the platform's store.
	StoreReads, StoreWatches, StoreFailures *metrics.Counter
	// Fetches and FetchFailures count configurations asked of peers.
	Fetches, FetchFailures *metrics.Counter
	// ListFailures counts reads of the platform's list that failed.
	ListFailures *metrics.Counter
	// Publications counts views.
	Publications *metrics.Counter
	// DroppedEvents counts events that found the loop behind.
	DroppedEvents *metrics.Counter
}

// New registers the metrics of a control loop; view returns its newest view, age the time since the last contact,
// and size the bytes that a digest takes in a message.
func New(
	set *metrics.Set, log *zap.Logger, view func() *cpview.View, age func() time.Duration,
	size func(*clementineport.Digest) int,
) *Metrics {
	for s := clementineport.MemberAlive; s <= clementineport.MemberLeaving; s++ {
		set.GetOrCreateGauge(fmt.Sprintf("clementineport_members{state=%q}", s), func() float64 {
			return float64(view().Count(s))
		})
	}
	set.GetOrCreateGauge("clementineport_revision", func() float64 { return float64(view().Revision) })
	set.GetOrCreateGauge("clementineport_contact_age_seconds", func() float64 { return age().Seconds() })
	n := func(name string) *metrics.Counter { return set.GetOrCreateCounter("clementineport_" + name) }
	return &Metrics{
		log: log, size: size, states: map[clementineport.VMID]clementineport.MemberState{},
		sentBytes:        n(`control_bytes_total{direction="sent"}`),
		receivedBytes:    n(`control_bytes_total{direction="received"}`),
		sentMessages:     n(`control_messages_total{direction="sent"}`),
		receivedMessages: n(`control_messages_total{direction="received"}`),
		ExchangeFailures: n("exchange_failures_total"),
		StoreReads:       n(`store_calls_total{kind="read"}`),
		StoreWatches:     n(`store_calls_total{kind="watch"}`),
		StoreFailures:    n("store_failures_total"),
		Fetches:          n("config_fetches_total"),
		FetchFailures:    n("config_fetch_failures_total"),
		ListFailures:     n("list_failures_total"),
		rejected:         n("config_rejected_total"),
		lowered:          n("config_lower_total"),
		Publications:     n("view_publications_total"),
		DroppedEvents:    n("control_events_dropped_total"),
	}
}

// DigestSent counts a digest that was sent.
func (m *Metrics) DigestSent(d *clementineport.Digest) {
	m.sentMessages.Inc()
	m.sentBytes.Add(m.size(d))
}

// DigestReceived counts a digest that was received.
func (m *Metrics) DigestReceived(d *clementineport.Digest) {
	m.receivedMessages.Inc()
	m.receivedBytes.Add(m.size(d))
}

// LogMemberStates logs the members whose state has changed since the last view.
func (m *Metrics) LogMemberStates(members []clementineport.Member) {
	for i := range members {
		v := &members[i]
		old, known := m.states[v.ID]
		if known && old == v.State {
			continue
		}
		m.states[v.ID] = v.State
		m.log.Info("member changed state",
			zap.String("VM", string(v.ID)), zap.String("State", v.State.String()))
	}
}

// ConfigInForce logs a configuration that was put in force.
func (m *Metrics) ConfigInForce(cfg *clementineport.Config) {
	m.log.Info("configuration in force", zap.Uint64("Revision", uint64(cfg.Revision)))
}

// StoreRevisionLowered counts and logs that the store has begun or ceased to answer with a lower revision.
func (m *Metrics) StoreRevisionLowered(lowered bool, stored, revision clementineport.Revision) {
	if !lowered {
		m.log.Info("store holds the revision in force again")
		return
	}
	m.lowered.Inc()
	m.log.Warn("store holds a lower revision than the one in force; it is refused",
		zap.Uint64("Stored", uint64(stored)), zap.Uint64("Revision", uint64(revision)))
}

// ConfigRejected counts and logs a configuration that was refused.
func (m *Metrics) ConfigRejected(err error) {
	m.rejected.Inc()
	m.log.Warn("stored configuration was refused", zap.Error(err))
}
