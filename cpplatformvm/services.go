package cpplatformvm

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
	"golang.org/x/net/netutil"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/platform/cpfront"
)

// Timeouts of the listeners.
const (
	// closeTimeout limits how long a listener may take to close.
	closeTimeout = 300 * time.Millisecond
	// headerTimeout limits the time to read the header of a request from the platform or another VM.
	headerTimeout = 2 * time.Second
	// idleTimeout limits how long idle connections of the platform and of other VMs stay open.
	idleTimeout = 30 * time.Second
	// maxEntryListTTL is the maximum TTL of a directory response. It is short enough that most callers have refreshed
	// their list before a VM that is leaving refuses requests.
	maxEntryListTTL = 2 * time.Second
)

const (
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// callerDescriptorShare is the part of the other descriptors that connections of callers may use. The rest is for the store, the
	// other VMs, the targets and the platform.
	callerDescriptorShare = 0.7
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
		peers         bool
	}{
		{"ready", s.Ready, cpfront.Ready(p.ready), false},
		{"directory", s.Directory, cpfront.Directory(p.addresses, p.entryListTTL), false},
		{"peer", s.Peer, cpconnect.NewHandler(&peerHandler{p.watcher, p.receiver, p.limiter}, p.peerOptions()...), true},
		{"metrics", p.metricsAddress, p.operatorHandler(), false},
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
	if n := maxCallerConnections(s.Limits.Descriptors); n > 0 {
		listener = netutil.LimitListener(listener, n)
	}
	return append(services, &callers{p.callers, listener}), nil
}

// maxCallerConnections returns how many connections of callers a process with a number of descriptors keeps open, or zero if the
// number is not known. Further ones wait until another is closed.
func maxCallerConnections(descriptors int) int {
	return int(callerDescriptorShare * float64(max(0, descriptors-fileDescriptors)))
}

// httpServer returns a server for requests that are answered immediately. Other VMs connect with HTTP/2 over cleartext,
// the platform with HTTP/1.
func httpServer(h http.Handler, peers bool) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: &http.Protocols{}}
	s.Protocols.SetHTTP1(!peers)
	s.Protocols.SetUnencryptedHTTP2(peers)
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
