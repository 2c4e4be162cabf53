package cpplatformvm

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/platform/cpfront"
)

// Bounds of the listeners.
const (
	// closeTime is how long a listener may take to end.
	closeTime = 300 * time.Millisecond
	// shortRequests bounds the head of requests that are answered at once.
	shortRequests = 2 * time.Second
	// idleTime is how long idle connections of the platform and of other VMs are kept.
	idleTime = 30 * time.Second
	// adviceLife is how long callers keep an answer of the directory: short enough that most have asked again before
	// a VM that is leaving refuses them.
	adviceLife = 2 * time.Second
)

// callers is the listener of callers as a supervised service.
type callers struct {
	*cpserver.Limited
	listener net.Listener
}

// Serve implements suture.Service.
func (c *callers) Serve(ctx context.Context) error { return c.Limited.Serve(ctx, c.listener) }

// services opens all listeners.
func (p *Process) services() ([]suture.Service, error) {
	s := p.settings.Load()
	services := []suture.Service{p.follower, &watcher{p: p}}
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		peers         bool
	}{
		{"ready", s.Ready, cpfront.Ready(p.ready), false},
		{"directory", s.Directory, cpfront.Directory(p.addresses, p.adviceLife), false},
		{"peer", s.Peer, cpconnect.NewHandler(p.follower, p.peerOptions()...), true},
		{"metrics", p.metrics, p.metricsHandler(), false},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		services = append(services, cpserver.NewService(l.name, listener, httpServer(l.handler, l.peers), closeTime))
	}
	listener, err := net.Listen("tcp", s.Caller)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(services, &callers{cpserver.NewLimited(p.front, p.limits, closeTime), listener}), nil
}

// httpServer returns a server of short requests.
func httpServer(h http.Handler, peers bool) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: shortRequests, IdleTimeout: idleTime, Protocols: &http.Protocols{}}
	s.Protocols.SetHTTP1(!peers)
	s.Protocols.SetUnencryptedHTTP2(peers)
	return s
}

// adviceLife returns how long callers may keep an answer of the directory.
func (p *Process) adviceLife() time.Duration {
	return min(adviceLife, p.settings.Load().Bounds.MaxDirectoryTTL)
}

// limits returns what callers may send.
func (p *Process) limits() clementineport.CallerLimits {
	return limits(p.follower.View())
}

func limits(v *cpfleetstate.View) clementineport.CallerLimits {
	if v.Router == nil {
		return clementineport.CallerLimits{}
	}
	return v.Router.Table().Limits
}
