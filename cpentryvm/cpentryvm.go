// Package cpentryvm assembles the process of an entry VM from its settings and runs its services under one supervisor.
// It makes no decisions of its own.
package cpentryvm

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpatmostonce"
	"github.com/clementineport/clementineport/cpcontrol"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cpsettings"
	"github.com/clementineport/clementineport/cpstore/cphttpstore"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cptrace"
)

// Error is the class of errors from starting a process.
var Error = errs.Class("node")

const startIDLength = 16

// Node is the process of an entry VM.
type Node struct {
	settings   *cpsettings.Settings
	log        *zap.Logger
	clock      clementineport.Clock
	seed       uint64
	self       clementineport.VM
	start      clementineport.StartID
	token      cptoken.Token
	metrics    *metrics.Set
	tracer     *cptrace.Tracer
	store      *cphttpstore.Client
	directory  *cphttpstore.Client
	control    *cpcontrol.Control
	limiter    *cplimit.Limiter
	pool       *cprelay.Pool
	peers      *cppeerconns.Shared
	admitter   *cpadmit.Admitter
	atMostOnce *cpatmostonce.Registry
	entry      *cpentry.Entry
	baseline   *baseline
	drain      *drainer
}

// New returns a Node with the given settings. It opens nothing but the trace exporter; Run opens the
// listeners.
func New(ctx context.Context, s *cpsettings.Settings, log *zap.Logger, traces io.Writer) (*Node, error) {
	n := &Node{
		settings: s,
		log:      log,
		clock:    clockwork.NewRealClock(),
		seed:     uint64(time.Now().UnixNano()),
		start:    clementineport.StartID(strings.ToLower(rand.Text()[:startIDLength])),
		token:    s.Token,
		metrics:  metrics.NewSet(),
	}
	n.self = clementineport.VM{
		ID:       s.VM,
		Domain:   s.Domain,
		Caller:   s.Advertise.Caller,
		Peer:     s.Advertise.Peer,
		Operator: s.Advertise.Operator,
	}
	var err error
	n.tracer, err = cptrace.New(ctx, cptrace.WithExporter(cptrace.Exporter(s.Trace.Exporter), s.Trace.Endpoint),
		cptrace.WithVM(string(s.VM)), cptrace.WithRatio(1), cptrace.WithWriter(traces))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.atMostOnce, err = cpatmostonce.New(n.start, n.clock.Now())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.store = cphttpstore.New(cphttpstore.WithAddresses(s.Store...))
	n.directory = cphttpstore.New(cphttpstore.WithAddresses(s.Directory))
	n.drain = newDrainer(n)
	n.newDataPlane()
	n.newControl()
	n.newEntry()
	return n, nil
}

// Run runs the process until ctx ends or a graceful shutdown, which a signal starts, is complete.
func (n *Node) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	root := suture.New("clementineport", suture.Spec{
		EventHook: func(e suture.Event) { n.log.Warn("a part of the process failed", zap.String("event", e.String())) },
	})
	root.Add(n.control)
	root.Add(&ticketLoop{n})
	for _, s := range servers {
		root.Add(s)
	}
	n.log.Info("started", zap.String("vm", string(n.self.ID)), zap.String("start", string(n.start)))
	done := root.ServeBackground(ctx)
	n.drain.run(ctx, signals)
	cancel()
	<-done
	n.pool.Close()
	n.log.Info("ended", zap.Int("cut", n.drain.aborted()))
	closeCtx, closeCancel := context.WithTimeout(context.Background(), time.Second)
	defer closeCancel()
	return n.tracer.Close(closeCtx)
}

// ticketLoop rotates the ticket of non-idempotent requests and announces the new one.
type ticketLoop struct{ n *Node }

const ticketRotationInterval = time.Second

// Serve implements suture.Service.
func (t *ticketLoop) Serve(ctx context.Context) error {
	for {
		now := t.n.clock.Now()
		t.n.atMostOnce.Rotate(now)
		t.n.control.SetTicket(t.n.atMostOnce.Ticket(now))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.n.clock.After(ticketRotationInterval):
		}
	}
}
