package cpfleetwatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpmembership"
)

// exchange starts an exchange of digests with another VM.
func (w *Watcher) exchange(ctx context.Context, a cpmembership.Action) {
	now := w.options.Clock.Now()
	peer, digest := w.peers.Get(now, a.Peer), w.membership.Digest(a.Peer.ID)
	digest.TargetNews, digest.Revision = w.news(now, a.Peer.ID, false), w.routesVersion()
	digest.Loads = w.loadNews(now, false)
	go func() {
		call, cancel := context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		answer, err := peer.Exchange(call, digest)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) { w.handleExchange(now, a, answer, err) })
	}()
}

// handleExchange handles the result of an exchange that this VM started.
func (w *Watcher) handleExchange(now time.Time, a cpmembership.Action, answer *clementineport.Digest, err error) {
	if err != nil {
		w.peers.Close(a.Peer.ID)
		w.membership.HandleFailure(now, a.Peer.ID, a.Began, clementineport.FaultOf(err))
		w.options.Log.Info(string(cplogevent.PeerUnreached), zap.String("VM", string(a.Peer.ID)), cplog.Cause("Error", err))
		return
	}
	w.lastPeerContact.Store(&now)
	w.applyNews(now, &answer.TargetNews, string(a.Peer.ID))
	w.observeRoutes(now, a.Peer, answer.Revision)
	w.membership.HandleResponse(now, a.Peer.ID, a.Began, answer)
}

// isJoining reports whether a digest is from a VM that has just started.
func isJoining(d *clementineport.Digest) bool { return d.From.Incarnation == 0 }

// Exchange implements cppeer.Handler.
func (w *Watcher) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	answer := make(chan *clementineport.Digest, 1)
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) {
		w.lastPeerContact.Store(&now)
		w.applyNews(now, &d.TargetNews, string(d.From.ID))
		response := w.membership.HandleDigest(now, d)
		response.TargetNews, response.Revision = w.news(now, d.From.ID, isJoining(d)), w.routesVersion()
		response.Loads = w.loadNews(now, isJoining(d))
		w.observeRoutes(now, d.From.VM, d.Revision)
		answer <- response
	})
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "exchange given up: %v", ctx.Err())
	}
}

// Relay implements cppeer.Handler. It always fails: a watcher calls no targets.
func (w *Watcher) Relay(context.Context, *clementineport.RelayRequest, func(clementineport.CallResult)) error {
	return clementineport.Fail(clementineport.FaultNotOwner, "this VM relays nothing")
}

// Reroute implements cppeer.Handler. It always fails: a watcher forwards no requests.
func (w *Watcher) Reroute(context.Context, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM forwards no requests")
}

// Forward implements cppeer.Handler. It always fails: a watcher runs no queries.
func (w *Watcher) Forward(context.Context, *clementineport.Query) (*clementineport.Answer, error) {
	return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM runs no queries")
}

// Quota implements cppeer.Handler. It always fails: a watcher coordinates no quotas.
func (w *Watcher) Quota(context.Context, *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM coordinates no quotas")
}
