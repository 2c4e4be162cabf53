package cpentryvm

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/thejerf/suture/v4"
	"golang.org/x/net/netutil"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpapi"
	"github.com/clementineport/clementineport/cpjson"
	"github.com/clementineport/clementineport/cpoperator"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/cpsubmit"
	"github.com/clementineport/clementineport/cptoken"
)

// Limits and timeouts of the servers.
const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 90 * time.Second
	maxPeerStreams = 10_000
	closeTimeout   = 5 * time.Second
	applyTimeout   = 2 * time.Second
)

// listen opens the listeners for callers, peers and operators and returns their servers.
func (n *Node) listen() ([]suture.Service, error) {
	var services []suture.Service
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"caller", n.settings.Listen.Caller, n.callerHandler()},
		{"peer", n.settings.Listen.Peer, cpconnect.NewHandler(n.peerHandler(), append(n.peerOptions(),
			cpconnect.WithRevision(n.revision, n.control.ObserveRevision))...)},
		{"operator", n.settings.Listen.Operator, n.operatorHandler()},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		listener = netutil.LimitListener(listener, n.settings.Limits.Connections)
		services = append(services, cpserver.NewService(l.name, listener, n.httpServer(l.name, l.handler), closeTimeout))
	}
	return services, nil
}

func (n *Node) httpServer(name string, h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.settings.Limits.HeaderTimeout,
		IdleTimeout:       n.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    int(n.settings.Limits.HeaderBytes),
		Protocols:         &http.Protocols{},
	}
	if name == "peer" {
		s.Protocols.SetUnencryptedHTTP2(true)
		s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams}
		return s
	}
	s.Protocols.SetHTTP1(true)
	s.ReadTimeout, s.WriteTimeout = readTimeout, writeTimeout
	return s
}

func (n *Node) callerHandler() http.Handler {
	return cpapi.New(
		n.entry,
		cpapi.WithClock(n.clock),
		cpapi.WithMaxBodyBytes(int64(n.settings.Limits.BodyBytes)),
		cpapi.WithMaxInProgress(n.settings.Limits.QueriesInProgress),
		cpapi.WithAllowPolicy(n.settings.AllowPolicy),
		cpapi.WithTraceExtractor(n.tracer.Extract),
	)
}

func (n *Node) operatorHandler() http.Handler {
	submitter := cpsubmit.New(
		cpsubmit.WithStore(n.store),
		cpsubmit.WithInForce(func() *clementineport.Config { return n.control.View().Config }),
		cpsubmit.WithClock(n.clock),
		cpsubmit.WithSeed(n.seed),
	)
	n.metrics.NewGauge("clementineport_in_flight", func() float64 { return float64(n.entry.InFlight()) })
	n.metrics.NewGauge("clementineport_cold_targets", func() float64 { return float64(n.limiter.ColdTargets()) })
	mux := http.NewServeMux()
	mux.Handle("/v1/", cpoperator.New(
		cpoperator.WithSubmitter(submitter),
		cpoperator.WithCurrent(func() *clementineport.Config { return n.control.View().Config }),
		cpoperator.WithOnAccepted(n.onAccepted),
		cpoperator.WithToken(n.token),
	))
	mux.Handle("GET "+cpoperator.StatusPath, cptoken.Require(n.token, http.HandlerFunc(n.status)))
	mux.Handle("GET "+cpoperator.ExplainPath+"{request}", cptoken.Require(n.token, http.HandlerFunc(n.explain)))
	mux.Handle("GET /debug/pprof/", cptoken.Require(n.token, http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", cptoken.Require(n.token, http.HandlerFunc(pprof.Profile)))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	return mux
}

// onAccepted immediately puts an accepted configuration in force on this VM and propagates it to the other VMs.
func (n *Node) onAccepted(r *cpsubmit.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	if err := n.control.ApplyAccepted(ctx, r.Config); err != nil {
		n.log.Warn("an accepted configuration is not in force here yet")
	}
}

func (n *Node) status(w http.ResponseWriter, r *http.Request) {
	status, err := n.control.Status(r.Context())
	if err != nil {
		cpoperator.WriteError(w, err)
		return
	}
	cpjson.Write(w, http.StatusOK, status)
}

func (n *Node) explain(w http.ResponseWriter, r *http.Request) {
	trace := n.entry.Explain(clementineport.RequestID(r.PathValue("request")))
	if trace == nil {
		cpoperator.WriteError(w, clementineport.Fail(clementineport.FaultNotFound, "this VM has not run the request lately"))
		return
	}
	cpjson.Write(w, http.StatusOK, trace.Explanation())
}
