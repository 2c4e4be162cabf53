package cpcontrol

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
)

// counters are the metrics of the control loop.
type counters struct {
	sentBytes, receivedBytes       *metrics.Counter
	sentMessages, receivedMessages *metrics.Counter
	exchangeFailures               *metrics.Counter
	storeReads, storeWatches       *metrics.Counter
	storeFailures                  *metrics.Counter
	fetches, fetchFailures         *metrics.Counter
	listFailures                   *metrics.Counter
	rejected, lowered              *metrics.Counter
	publications, dropped          *metrics.Counter
}

var stateNames = [...]string{
	clementineport.MemberAlive:   "alive",
	clementineport.MemberSuspect: "suspect",
	clementineport.MemberDead:    "dead",
	clementineport.MemberLeaving: "leaving",
}

func newCounters(c *Control) counters {
	set := c.options.Metrics
	for s, name := range stateNames {
		set.GetOrCreateGauge(fmt.Sprintf("clementineport_members{state=%q}", name), func() float64 {
			return float64(c.View().Count(clementineport.MemberState(s)))
		})
	}
	set.GetOrCreateGauge("clementineport_revision", func() float64 { return float64(c.View().Revision) })
	set.GetOrCreateGauge("clementineport_contact_age_seconds", func() float64 { return c.freshness.Age().Seconds() })
	n := func(name string) *metrics.Counter { return set.GetOrCreateCounter("clementineport_" + name) }
	return counters{
		sentBytes:        n(`control_bytes_total{direction="sent"}`),
		receivedBytes:    n(`control_bytes_total{direction="received"}`),
		sentMessages:     n(`control_messages_total{direction="sent"}`),
		receivedMessages: n(`control_messages_total{direction="received"}`),
		exchangeFailures: n("exchange_failures_total"),
		storeReads:       n(`store_calls_total{kind="read"}`),
		storeWatches:     n(`store_calls_total{kind="watch"}`),
		storeFailures:    n("store_failures_total"),
		fetches:          n("config_fetches_total"),
		fetchFailures:    n("config_fetch_failures_total"),
		listFailures:     n("list_failures_total"),
		rejected:         n("config_rejected_total"),
		lowered:          n("config_lower_total"),
		publications:     n("view_publications_total"),
		dropped:          n("control_events_dropped_total"),
	}
}

func (c *Control) countSent(d *clementineport.Digest) {
	c.counters.sentMessages.Inc()
	c.counters.sentBytes.Add(c.options.Size(d))
}

func (c *Control) countReceived(d *clementineport.Digest) {
	c.counters.receivedMessages.Inc()
	c.counters.receivedBytes.Add(c.options.Size(d))
}

// logMembers logs the members whose state has changed since the last view.
func (c *Control) logMembers(members []clementineport.Member) {
	for i := range members {
		m := &members[i]
		old, known := c.states[m.ID]
		if known && old == m.State {
			continue
		}
		c.states[m.ID] = m.State
		c.options.Log.Info("member changed state",
			zap.String("VM", string(m.ID)), zap.String("State", stateNames[m.State]))
	}
}

func (c *Control) logRevision(cfg *clementineport.Config) {
	c.options.Log.Info("configuration in force", zap.Uint64("Revision", uint64(cfg.Revision)))
}

// logLowered logs that the store has begun or ceased to answer with a lower revision.
func (c *Control) logLowered() {
	if !c.spread.Lowered() {
		c.options.Log.Info("store holds the revision in force again")
		return
	}
	c.counters.lowered.Inc()
	c.options.Log.Warn("store holds a lower revision than the one in force; it is refused",
		zap.Uint64("Stored", uint64(c.spread.Restored())), zap.Uint64("Revision", uint64(c.spread.Revision())))
}

func (c *Control) rejected(err error) {
	c.counters.rejected.Inc()
	c.options.Log.Warn("stored configuration was refused", zap.Error(err))
}
