package cpplatformvm

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport/cpreach"
)

// maxServices limits how many services have their own metrics, which bounds the size of the output. The services after
// it, in order of their names, have none.
const maxServices = 400

// operatorHandler serves the metrics, and the status at its own path.
func (p *Process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathStatus, p.statusHandler())
	mux.Handle("/", p.metricsHandler())
	return mux
}

// metricsHandler serves the counters and the current state of the process in the Prometheus text format.
func (p *Process) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		p.writeState(w)
		p.writeServices(w)
		p.limiter.WriteMetrics(w)
		p.writeAdmission(w)
		p.writeClients(w)
		p.writeRollouts(w)
	})
}

// writeState writes the state of the process. Write errors are ignored, because they mean that the client has gone.
func (p *Process) writeState(w io.Writer) {
	view := p.watcher.View()
	limited, full := p.log.Omitted()
	version := 0.0
	if view.Router != nil {
		version = float64(view.Router.Table().Version)
	}
	lost, member := 0.0, 0.0
	if p.reach.State() == cpreach.Lost {
		lost = 1
	}
	if view.Active.Has(p.self.ID) {
		member = 1
	}
	for _, m := range []struct {
		name  string
		value float64
	}{
		{"clementineport_requests_in_flight", float64(p.requests.InFlight())},
		{"clementineport_view_age_seconds", p.watcher.Age().Seconds()},
		{"clementineport_routes_version", version},
		{"clementineport_store_era", float64(view.AsOf.Era)},
		{"clementineport_targets_leaving", float64(view.Leaving)},
		{"clementineport_targets_lost", lost},
		{"clementineport_requests_blocked", float64(view.BlockedRequests())},
		{"clementineport_crash_checks_skipped_total", float64(p.forwarder.SkippedCrashChecks())},
		{"clementineport_vms_alive", float64(len(view.ServingVMs()))},
		{"clementineport_vms_active", float64(view.Active.Size())},
		{"clementineport_vm_active", member},
		{"clementineport_vms_divided_by", float64(view.VMs)},
		{"clementineport_vms_sending", float64(view.Sending)},
		{"clementineport_log_lines_limited_total", float64(limited)},
		{"clementineport_log_lines_dropped_total", float64(full)},
	} {
		fmt.Fprintf(w, "%s %v\n", m.name, m.value)
	}
}

// writeServices writes the totals of the targets of each service.
func (p *Process) writeServices(w io.Writer) {
	totals := p.watcher.View().Totals(p.clock.Now())
	budgets := p.forwarder.Budgets()
	for _, t := range totals[:min(len(totals), maxServices)] {
		for _, m := range []struct {
			name  string
			value float64
		}{
			{"clementineport_targets", float64(t.Targets)},
			{"clementineport_targets_cold", float64(t.Cold)},
			{"clementineport_targets_closed", float64(t.Closed)},
			{"clementineport_targets_limited", float64(t.Limited)},
			{"clementineport_calls_in_flight", float64(t.InFlight)},
			{"clementineport_connections_open", float64(t.Open)},
			{"clementineport_connections_opened", float64(t.Opened)},
			{"clementineport_extra_calls_left", budgets[t.Service]},
		} {
			fmt.Fprintf(w, "%s{service=%q} %v\n", m.name, string(t.Service), m.value)
		}
	}
}

// writeRollouts writes the phase, as its number, and the share of each rollout.
func (p *Process) writeRollouts(w io.Writer) {
	rollouts := p.rolloutStatuses(p.watcher.View())
	for _, r := range rollouts[:min(len(rollouts), maxServices)] {
		fmt.Fprintf(w, "clementineport_rollout_phase{service=%q} %d\n", string(r.Service), r.Phase)
		fmt.Fprintf(w, "clementineport_rollout_share{service=%q} %v\n", string(r.Service), r.Share)
	}
}
