package cpplatformvm

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpworkspace"
	"github.com/clementineport/clementineport/platform/cpfront"
)

// requestCompleted counts and logs a request that has ended: at level info if it was answered in full, otherwise at
// level warn.
func (p *Process) requestCompleted(e *cpfront.Event) {
	p.meter.Count(e.Err != nil && e.Err.Fault == clementineport.FaultShed)
	status := strconv.Itoa(e.Status)
	metrics.GetOrCreateCounter(`clementineport_requests_total{status="` + status + `"}`).Inc()
	metrics.GetOrCreateHistogram(requestSeconds(e)).Update(e.Elapsed.Seconds())
	if e.Authentication != cpworkspace.OutcomeOff {
		metrics.GetOrCreateCounter(`clementineport_authentications_total{outcome="` + e.Authentication.String() + `"}`).Inc()
	}
	metrics.GetOrCreateCounter("clementineport_hedges_total").Add(e.Stats.Hedges)
	metrics.GetOrCreateCounter("clementineport_retries_total").Add(e.Stats.Retries)
	fields := []zap.Field{
		zap.String("ID", string(e.ID)), zap.String("Route", string(e.Route)), zap.Int("Status", e.Status),
		zap.Duration("Elapsed", e.Elapsed), zap.Duration("Left", e.Timeout), zap.Uint64("Version", uint64(e.Version)),
		zap.Duration("ViewAge", e.ViewAge), zap.Int("Shards", e.Stats.Shards), zap.Int("Covered", e.Stats.Covered),
		zap.Int("Sends", e.Stats.Sends), zap.Int("Hedges", e.Stats.Hedges), zap.Int("Retries", e.Stats.Retries),
		zap.Int("Refused", e.Stats.Refused),
	}
	if e.Target != "" {
		fields = append(fields, zap.String("Target", string(e.Target)))
		if version := p.watcher.View().RolloutVersion(e.Target); version != "" {
			fields = append(fields, zap.String("TargetVersion", string(version)))
		}
	}
	if e.Workspace != "" {
		fields = append(fields, zap.String("Workspace", string(e.Workspace)))
	}
	if e.Via != "" {
		fields = append(fields, zap.String("Via", string(e.Via)), zap.Uint64("ViaVersion", uint64(e.ViaVersion)))
	}
	if len(e.Stats.LeftOut) > 0 {
		fields = append(fields, zap.Array("LeftOut", leftOut(e.Stats.LeftOut)))
	}
	if e.Err != nil {
		fields = append(fields, zap.String("Verdict", e.Err.Verdict().String()), cplog.Cause("Reason", e.Err))
	}
	if e.WriteErr != nil {
		fields = append(fields, cplog.Cause("WriteError", e.WriteErr))
	}
	name := eventName(e)
	if name == cplogevent.RequestServed || name == cplogevent.RequestRepeated {
		p.log.Info(string(name), fields...)
		return
	}
	p.log.Warn(string(name), fields...)
}

// requestSeconds returns the name of the latency histogram for a request. It has no label for the route, because routes
// come and go and each would add a time series.
func requestSeconds(e *cpfront.Event) string {
	kind := "single"
	if e.Stats.Shards > 1 {
		kind = "gather"
	}
	return `clementineport_request_seconds{kind="` + kind + `",priority="` + strconv.Itoa(e.Priority) + `"}`
}

// leftOut logs the shards that are missing from an answer.
type leftOut []cpfanout.LeftOut

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (all leftOut) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range all {
		if err := enc.AppendObject((*leftOutShard)(&all[i])); err != nil {
			return err
		}
	}
	return nil
}

// leftOutShard logs one shard that is missing from an answer.
type leftOutShard cpfanout.LeftOut

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l *leftOutShard) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("Service", string(l.Service))
	enc.AddInt("Sends", l.Sends)
	enc.AddInt("Waiting", l.Waiting)
	enc.AddBool("Held", l.Deferred)
	enc.AddString("Fault", l.Fault.String())
	return enc.AddArray("Targets", zapcore.ArrayMarshalerFunc(func(targets zapcore.ArrayEncoder) error {
		for _, id := range l.Targets {
			targets.AppendString(string(id))
		}
		return nil
	}))
}

// eventName returns the event that reports the end of a request.
func eventName(e *cpfront.Event) cplogevent.Name {
	switch {
	case e.Err != nil && e.Err.Verdict() == clementineport.NotRun:
		return cplogevent.RequestRefused
	case e.Err != nil || e.Status >= 500 || e.WriteErr != nil:
		return cplogevent.RequestFailed
	case e.Stats.Covered < e.Stats.Shards:
		return cplogevent.RequestIncomplete
	case e.Stats.Sends > e.Stats.Shards:
		return cplogevent.RequestRepeated
	default:
		return cplogevent.RequestServed
	}
}

// callFailed counts and logs a call to a target that failed.
func (p *Process) callFailed(r *clementineport.OpaqueRequest, target clementineport.TargetID, err error, elapsed time.Duration) {
	fault := clementineport.FaultOf(err)
	metrics.GetOrCreateCounter(`clementineport_calls_failed_total{fault="` + fault.String() + `"}`).Inc()
	if fault == clementineport.FaultCanceled {
		return
	}
	p.log.Warn(string(cplogevent.CallFailed), zap.String("ID", string(r.ID)), zap.Stringer("Contents", r.Key()), zap.String("Target", string(target)),
		zap.String("Fault", fault.String()), zap.Duration("Elapsed", elapsed), cplog.Cause("Reason", err))
}

// targetClosed logs that a target asked this VM for no requests for a time.
func (p *Process) targetClosed(d *clementineport.TargetInstance, closedFor time.Duration) {
	p.log.Info(string(cplogevent.TargetClosed), zap.String("Target", string(d.ID)), zap.String("Service", string(d.Service)),
		zap.Duration("For", closedFor))
}

// retryAfterRejected logs that a target stated a time that was not used as it is.
func (p *Process) retryAfterRejected(d *clementineport.TargetInstance, stated string, used time.Duration) {
	p.log.Warn(string(cplogevent.RetryAfterRejected), zap.String("Target", string(d.ID)), zap.String("Service", string(d.Service)),
		zap.String("Stated", stated), zap.Duration("For", used))
}

// limitRejected logs that a target stated a limit that can't be read.
func (p *Process) limitRejected(d *clementineport.TargetInstance, stated string) {
	p.log.Warn(string(cplogevent.LimitRejected), zap.String("Target", string(d.ID)), zap.String("Service", string(d.Service)),
		zap.String("Stated", stated))
}

// targetChanged logs that a target became unresponsive or responsive.
func (p *Process) targetChanged(target *clementineport.TargetInstance, change cpbalancer.Change) {
	fields := []zap.Field{zap.String("Target", string(target.ID)), zap.String("Service", string(target.Service))}
	if change == cpbalancer.BecameUnresponsive {
		p.log.Warn(string(cplogevent.TargetUnresponsive), fields...)
		return
	}
	p.log.Info(string(cplogevent.TargetResponsive), fields...)
}

// requestRerouted counts a request that another VM ran for this one, and logs it if it failed there.
func (p *Process) requestRerouted(r *clementineport.ReroutedRequest, to clementineport.VMID, err *clementineport.Error, elapsed time.Duration) {
	metrics.GetOrCreateCounter(`clementineport_reroutes_sent_total{outcome="` + outcome(err) + `"}`).Inc()
	if err == nil {
		return
	}
	p.log.Warn(string(cplogevent.RerouteFailed), zap.String("ID", string(r.ID)), zap.String("VM", string(to)),
		zap.String("Fault", err.Fault.String()), zap.Duration("Elapsed", elapsed), cplog.Cause("Reason", err))
}

// reroutedCompleted counts and logs a request that this VM has run for another one.
func (p *Process) reroutedCompleted(r *clementineport.ReroutedRequest, result *cpforward.Result, elapsed time.Duration) {
	metrics.GetOrCreateCounter(`clementineport_reroutes_run_total{outcome="` + outcome(result.Err) + `"}`).Inc()
	fields := []zap.Field{
		zap.String("ID", string(r.ID)), zap.String("VM", string(r.From)), zap.Uint64("Version", uint64(r.Version)),
		zap.Duration("Elapsed", elapsed), zap.Int("Shards", result.Stats.Shards), zap.Int("Covered", result.Stats.Covered),
		zap.Int("Sends", result.Stats.Sends),
	}
	if result.Err == nil {
		p.log.Info(string(cplogevent.RerouteRun), fields...)
		return
	}
	p.log.Warn(string(cplogevent.RerouteRun), append(fields, zap.String("Verdict", result.Err.Verdict().String()), cplog.Cause("Reason", result.Err))...)
}

// outcome returns the label of a request that ended with an error, or without.
func outcome(err *clementineport.Error) string {
	if err == nil {
		return "answered"
	}
	return err.Fault.String()
}
