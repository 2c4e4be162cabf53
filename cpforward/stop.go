package cpforward

import (
	"context"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
)

// stopReason is the reason of errors of requests that a shutdown has ended.
const stopReason = "this VM shuts down before the request has ended"

// stop ends a request whose context has ended. If this VM is shutting down, the request is answered with what targets have
// returned so far, if that is enough. Otherwise its caller has disconnected.
func (r *run) stop(ctx context.Context) *Result {
	if !cpdrain.Ended(ctx) {
		r.cancel()
		return Failed(callerGone(ctx))
	}
	r.stopped = true
	r.takeResults()
	if r.fan.Ended() || r.fan.Sufficient() {
		r.cancel()
		return r.answer()
	}
	return r.abandon(clementineport.FaultDraining, stopReason)
}

// takeResults records the results that have arrived. It sends no further calls.
func (r *run) takeResults() {
	for {
		select {
		case result := <-r.results:
			r.running--
			r.fan.Done(r.now(), &result.Result)
		default:
			return
		}
	}
}

// abandon cancels the calls of a request that this VM can't complete. The error has the given fault if no call has reached a
// target, and otherwise one that says that the request may have run.
func (r *run) abandon(notRun clementineport.Fault, reason string) *Result {
	r.cancel()
	r.attempts.running.Wait() // canceled calls end at once
	fault := notRun
	if r.attempts.most() > 0 {
		fault = r.route.UnansweredFault()
	}
	return Failed(clementineport.Fail(fault, "%s", reason))
}

// Unsent returns the error of a request whose context has ended before it was sent to a target.
func Unsent(ctx context.Context) *clementineport.Error {
	if cpdrain.Ended(ctx) {
		return clementineport.Fail(clementineport.FaultDraining, stopReason)
	}
	return callerGone(ctx)
}

// Unanswered returns the error of a request on a route that may have run at another VM when its context ended.
func Unanswered(ctx context.Context, route *clementineport.Route) *clementineport.Error {
	if cpdrain.Ended(ctx) {
		return clementineport.Fail(route.UnansweredFault(), stopReason)
	}
	return callerGone(ctx)
}

// callerGone returns the error of a request whose caller has disconnected.
func callerGone(ctx context.Context) *clementineport.Error {
	return &clementineport.Error{Fault: clementineport.FaultCanceled, Reason: "the caller has left", Err: context.Cause(ctx)}
}
