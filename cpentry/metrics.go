package cpentry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
)

// queryMetrics counts queries and the calls made for them.
type queryMetrics struct {
	set       *metrics.Set
	Probes    *metrics.Counter
	Forwarded *metrics.Counter
	Calls     *metrics.Counter
	Hedges    *metrics.Counter
	Retries   *metrics.Counter
	Resends   *metrics.Counter
	Restarts  *metrics.Counter
}

func newQueryMetrics(set *metrics.Set) *queryMetrics {
	return &queryMetrics{
		set:       set,
		Probes:    set.GetOrCreateCounter("clementineport_probe_calls_total"),
		Forwarded: set.GetOrCreateCounter("clementineport_forwarded_queries_total"),
		Calls:     set.GetOrCreateCounter("clementineport_query_calls_total"),
		Hedges:    set.GetOrCreateCounter("clementineport_query_hedges_total"),
		Retries:   set.GetOrCreateCounter("clementineport_query_retries_total"),
		Resends:   set.GetOrCreateCounter("clementineport_query_resends_total"),
		Restarts:  set.GetOrCreateCounter("clementineport_query_restarts_total"),
	}
}

// observe records the outcome and the duration of a query.
func (m *queryMetrics) observe(service clementineport.ServiceID, took time.Duration, a *clementineport.Answer, err error) {
	outcome := "complete"
	switch {
	case err != nil:
		outcome = clementineport.FaultOf(err).String()
	case !a.Complete:
		outcome = "incomplete"
	}
	if clementineport.FaultOf(err) == clementineport.FaultNotFound {
		service = "unknown"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("clementineport_queries_total{service=%q,outcome=%q}", service, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("clementineport_query_seconds{service=%q}", service)).Update(took.Seconds())
	if a == nil {
		return
	}
	m.Calls.Add(a.Stats.Calls)
	m.Hedges.Add(a.Stats.Hedges)
	m.Retries.Add(a.Stats.Retries)
	m.Resends.Add(a.Stats.Resends)
	m.Restarts.Add(a.Stats.Restarts)
}
