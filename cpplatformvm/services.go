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
	// closeTimeout is how long a listener may take to end.
	closeTimeout = 300 * time.Millisecond
	// headerTimeout bounds the head of requests that are answered at once.
	headerTimeout = 2 * time.Second
	// idleTimeout is how long idle connections of the platform and of other VMs are kept.
	idleTimeout = 30 * time.Second
	// maxEntryListTTL is how long callers keep an answer of the directory: short enough that most have asked again before
	// a VM that is leaving refuses them.
	maxEntryListTTL = 2 * time.Second
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
	services := []suture.Service{p.watcher, &settingsWatcher{p: p}}
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		peers         bool
	}{
		{"ready", s.Ready, cpfront.Ready(p.ready), false},
		{"directory", s.Directory, cpfront.Directory(p.addresses, p.entryListTTL), false},
		{"peer", s.Peer, cpconnect.NewHandler(p.watcher, p.peerOptions()...), true},
		{"metrics", p.metrics, p.metricsHandler(), false},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		services = append(services, cpserver.NewService(l.name, listener, httpServer(l.handler, l.peers), closeTimeout))
	}
	listener, err := net.Listen("tcp", s.Caller)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(services, &callers{cpserver.NewLimited(p.front, p.limits, closeTimeout), listener}), nil
}

// httpServer returns a server of short requests.
func httpServer(h http.Handler, peers bool) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: &http.Protocols{}}
	s.Protocols.SetHTTP1(!peers)
	s.Protocols.SetUnencryptedHTTP2(peers)
	return s
}

// entryListTTL returns how long callers may keep an answer of the directory.
func (p *Process) entryListTTL() time.Duration {
	return min(maxEntryListTTL, p.settings.Load().Bounds.MaxDirectoryTTL)
}

// limits returns what callers may send.
func (p *Process) limits() clementineport.CallerLimits {
	return limits(p.watcher.View())
}

func limits(v *cpfleetstate.View) clementineport.CallerLimits {
	if v.Router == nil {
		return clementineport.CallerLimits{}
	}
	return v.Router.Table().Limits
}
