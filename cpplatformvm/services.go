package cpplatformvm

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpclientlimit"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/platform/cpfront"
)

// Timeouts of the listeners.
const (
	// closeTimeout limits how long a listener may take to close.
	closeTimeout = 300 * time.Millisecond
	// headerTimeout limits the time to read the header of a request to the directory, from the platform or another VM.
	headerTimeout = 2 * time.Second
	// idleTimeout limits how long idle connections to these listeners stay open.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes limits the header of a request to the directory or from the platform.
	maxHeaderBytes = 64 << 10
	// maxEntryListTTL is the maximum TTL of a directory response. It is short enough that most callers have refreshed
	// their list before a VM that is leaving refuses requests.
	maxEntryListTTL = 2 * time.Second
)

// callers serves the caller listener as a supervised service.
type callers struct {
	*cpserver.Limited
	listener net.Listener
}

// Serve implements suture.Service.
func (c *callers) Serve(ctx context.Context) error { return c.Limited.Serve(ctx, c.listener) }

// services opens the listeners and returns the services to supervise.
func (p *Process) services() ([]suture.Service, error) {
	s := p.settings.Load()
	services := []suture.Service{p.watcher, p.limiter, &settingsWatcher{p: p}}
	for _, l := range []struct {
		name, address string
		handler       http.Handler
		share         float64
	}{
		{"ready", s.Ready, cpfront.Ready(p.ready), operatorShare},
		{"directory", s.Directory, cpfront.Directory(p.addresses, p.entryListTTL), directoryShare},
		{"metrics", p.metricsAddress, p.operatorHandler(), operatorShare},
	} {
		if l.address == "" {
			continue
		}
		listener, err := p.listen(l.name, l.address, l.share)
		if err != nil {
			return nil, err
		}
		services = append(services, cpserver.NewService(l.name, listener, clientServer(l.handler), closeTimeout))
	}
	peers, err := net.Listen("tcp", s.Peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	handler := cpconnect.NewHandler(&peerHandler{p.watcher, p.receiver, p.limiter}, p.peerOptions()...)
	listener, err := p.listen("callers", s.Caller, callerShare)
	if err != nil {
		return nil, err
	}
	return append(services, cpserver.NewService("peer", peers, peerServer(handler), closeTimeout), &clientWatcher{p: p}, &callers{p.callers, listener}), nil
}

// listen listens for clients, who may have a share of the connections of the process.
func (p *Process) listen(name, address string, share float64) (net.Listener, error) {
	listener, err := cpclientlimit.Listen(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return p.clients.Listener(listener, name, max(minConnections, int(share*float64(maxConnections(&p.settings.Load().Limits))))), nil
}

// clientServer returns a server for HTTP/1 requests of clients that are answered immediately.
func clientServer(h http.Handler) *http.Server {
	return cpclientlimit.Guard(&http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
}

// peerServer returns a server for other VMs, which connect with HTTP/2 over cleartext.
func peerServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: &http.Protocols{}}
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// entryListTTL returns the TTL of a directory response.
func (p *Process) entryListTTL() time.Duration {
	return min(maxEntryListTTL, p.settings.Load().Bounds.MaxDirectoryTTL)
}

// limits returns the limits for caller requests, or zero limits before the routes are known.
func (p *Process) limits() clementineport.CallerLimits {
	return limits(p.watcher.View())
}

func limits(v *cpfleetstate.View) clementineport.CallerLimits {
	if v.Router == nil {
		return clementineport.CallerLimits{}
	}
	return v.Router.Table().Limits
}
