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

// exchange swaps digests with another VM.
func (f *Watcher) exchange(ctx context.Context, a cpmembership.Action) {
	peer, digest := f.peers.Get(f.options.Clock.Now(), a.Peer), f.member.Digest(a.Peer.ID)
	go func() {
		call, cancel := context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		answer, err := peer.Exchange(call, digest)
		f.send(ctx, func(_ context.Context, f *Watcher, now time.Time) { f.exchanged(now, a, answer, err) })
	}()
}

// exchanged takes the result of an exchange that this VM began.
func (f *Watcher) exchanged(now time.Time, a cpmembership.Action, answer *clementineport.Digest, err error) {
	if err != nil {
		f.peers.HangUp(a.Peer.ID)
		f.member.HandleFailure(now, a.Peer.ID, a.Began, clementineport.FaultOf(err))
		f.options.Log.Info(string(cplogevent.PeerUnreached), zap.String("VM", string(a.Peer.ID)), cplog.Cause("Error", err))
		return
	}
	f.contacted.Store(&now)
	f.member.HandleResponse(now, a.Peer.ID, a.Began, answer)
}

// Exchange implements cppeer.Handler.
func (f *Watcher) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	answer := make(chan *clementineport.Digest, 1)
	f.send(ctx, func(_ context.Context, f *Watcher, now time.Time) {
		f.contacted.Store(&now)
		answer <- f.member.HandleDigest(now, d)
	})
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "exchange given up: %v", ctx.Err())
	}
}

// Relay implements cppeer.Handler; a follower calls no targets.
func (f *Watcher) Relay(context.Context, *clementineport.RelayRequest, func(clementineport.CallResult)) error {
	return clementineport.Fail(clementineport.FaultNotOwner, "this VM relays nothing")
}

// Forward implements cppeer.Handler; a follower runs no queries.
func (f *Watcher) Forward(context.Context, *clementineport.Query) (*clementineport.Answer, error) {
	return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM runs no queries")
}
