package cpplatformvm

import (
	"fmt"
	"io"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cplogevent"
)

// writeAdmission writes the metrics of admission. Workspaces have no time series of their own, as there may be too many.
func (p *Process) writeAdmission(w io.Writer) {
	stats := p.forwarder.Admission()
	fmt.Fprintf(w, "clementineport_admission_in_progress %d\n", stats.InProgress)
	fmt.Fprintf(w, "clementineport_admission_workspaces %d\n", stats.Workspaces)
	for c, n := range stats.Waiting {
		fmt.Fprintf(w, "clementineport_admission_waiting{class=%q} %d\n", clementineport.Class(c), n)
	}
	for reason, n := range stats.Refusals {
		fmt.Fprintf(w, "clementineport_admission_refusals_total{reason=%q} %d\n", cpadmit.Reason(reason), n)
	}
}

// admissionChanged logs that requests for some services begin or cease to be refused. The line names the first service and the
// number of services, since a gather may have many.
func (p *Process) admissionChanged(services []clementineport.ServiceID, overloaded bool) {
	fields := []zap.Field{zap.String("Service", string(services[0])), zap.Int("Services", len(services))}
	if overloaded {
		p.log.Warn(string(cplogevent.AdmissionLimited), fields...)
		return
	}
	p.log.Info(string(cplogevent.AdmissionUnlimited), fields...)
}
