// Package cpmetrics holds the metrics of a VM's control loop and logs its state changes. It makes no decisions.
package cpmetrics

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpview"
)

// Metrics holds the counters and the logger of one control loop. The exported counters may be used by any goroutine;
// the methods may be called by the loop only.
type Metrics struct {
	log    *zap.Logger
	size   func(*clementineport.Digest) int
	states map[clementineport.VMID]clementineport.MemberState

	sentBytes, receivedBytes       *metrics.Counter
	sentMessages, receivedMessages *metrics.Counter
	rejected, lowered              *metrics.Counter

	// ExchangeFailures counts exchanges that were not answered.
	ExchangeFailures *metrics.Counter
	// StoreReads, StoreWatches and StoreFailures count calls to the platform's store.
	StoreReads, StoreWatches, StoreFailures *metrics.Counter
	// Fetches and FetchFailures count requests to peers for their configuration.
	Fetches, FetchFailures *metrics.Counter
	// ListFailures counts failed reads of the platform's list of VMs.
	ListFailures *metrics.Counter
	// Publications counts published views.
	Publications *metrics.Counter
	// DroppedEvents counts events that were dropped because the loop's queue was full.
	DroppedEvents *metrics.Counter
}

// New registers the metrics of a control loop in set. The view function returns its newest view, age the time since
// the last contact, and size the encoded size of a digest in bytes.
func New(
	set *metrics.Set, log *zap.Logger, view func() *cpview.View, age func() time.Duration,
	size func(*clementineport.Digest) int,
) *Metrics {
	for s := clementineport.MemberAlive; s <= clementineport.MemberLeaving; s++ {
		set.GetOrCreateGauge(fmt.Sprintf("clementineport_members{state=%q}", s), func() float64 {
			return float64(view().CountInState(s))
		})
	}
	set.GetOrCreateGauge("clementineport_revision", func() float64 { return float64(view().Revision) })
	set.GetOrCreateGauge("clementineport_contact_age_seconds", func() float64 { return age().Seconds() })
	counter := func(name string) *metrics.Counter { return set.GetOrCreateCounter("clementineport_" + name) }
	return &Metrics{
		log: log, size: size, states: map[clementineport.VMID]clementineport.MemberState{},
		sentBytes:        counter(`control_bytes_total{direction="sent"}`),
		receivedBytes:    counter(`control_bytes_total{direction="received"}`),
		sentMessages:     counter(`control_messages_total{direction="sent"}`),
		receivedMessages: counter(`control_messages_total{direction="received"}`),
		ExchangeFailures: counter("exchange_failures_total"),
		StoreReads:       counter(`store_calls_total{kind="read"}`),
		StoreWatches:     counter(`store_calls_total{kind="watch"}`),
		StoreFailures:    counter("store_failures_total"),
		Fetches:          counter("config_fetches_total"),
		FetchFailures:    counter("config_fetch_failures_total"),
		ListFailures:     counter("list_failures_total"),
		rejected:         counter("config_rejected_total"),
		lowered:          counter("config_lower_total"),
		Publications:     counter("view_publications_total"),
		DroppedEvents:    counter("control_events_dropped_total"),
	}
}

// DigestSent counts a sent digest.
func (m *Metrics) DigestSent(d *clementineport.Digest) {
	m.sentMessages.Inc()
	m.sentBytes.Add(m.size(d))
}

// DigestReceived counts a received digest.
func (m *Metrics) DigestReceived(d *clementineport.Digest) {
	m.receivedMessages.Inc()
	m.receivedBytes.Add(m.size(d))
}

// LogMemberStates logs the members whose state has changed since the previous call.
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

// StoreRevisionLowered logs that the store began or stopped returning a revision lower than the one in force,
// and counts the former.
func (m *Metrics) StoreRevisionLowered(lowered bool, stored, revision clementineport.Revision) {
	if !lowered {
		m.log.Info("store holds the revision in force again")
		return
	}
	m.lowered.Inc()
	m.log.Warn("store holds a lower revision than the one in force; it is refused",
		zap.Uint64("Stored", uint64(stored)), zap.Uint64("Revision", uint64(revision)))
}

// ConfigRejected counts and logs a configuration that was rejected.
func (m *Metrics) ConfigRejected(err error) {
	m.rejected.Inc()
	m.log.Warn("stored configuration was refused", zap.Error(err))
}
