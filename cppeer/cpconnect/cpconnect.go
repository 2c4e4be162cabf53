// Package cpconnect implements calls between entry VMs with Connect over unencrypted HTTP/2. It carries messages,
// the token, the revision and the trace context, and determines whether a failed call may have run.
package cpconnect

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cpwire"
)

// Tracer propagates trace contexts between processes.
type Tracer interface {
	// Inject returns the trace context of ctx as a W3C traceparent.
	Inject(ctx context.Context) string
	// Extract returns a copy of ctx that carries the received trace context.
	Extract(ctx context.Context, traceparent string) context.Context
}

var errInactive = errors.New("the VM sent nothing for too long")

type noTracer struct{}

func (noTracer) Inject(context.Context) string                         { return "" }
func (noTracer) Extract(ctx context.Context, _ string) context.Context { return ctx }

func newOptions(opts []Option) Options {
	o := Options{
		Clock:                          clockwork.NewRealClock(),
		MaxMessageSize:                 defaultMaxMessageSize,
		Dial:                           (&net.Dialer{Timeout: defaultDialTimeout}).DialContext,
		HeartbeatInterval:              defaultHeartbeatInterval,
		InactivityTimeout:              defaultInactivityTimeout,
		NonIdempotentInactivityTimeout: defaultNonIdempotentInactivityTimeout,
		Tracer:                         noTracer{},
		Revision:                       func() clementineport.Revision { return 0 },
		StoreEra:                       func() clementineport.StoreEra { return 0 },
		OnRevision:                     func(clementineport.Revision, clementineport.VMID) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

type client struct {
	opts Options
	conn atomic.Pointer[connection]
}

// New returns a client of the VM at the configured address.
func New(opts ...Option) clementineport.Peer {
	c := &client{opts: newOptions(opts)}
	c.conn.Store(newConnection(&c.opts))
	return c
}

// progress records whether a call has a connection and whether any of it was written.
type progress struct{ connected, wrote atomic.Bool }

// maySend reports whether bytes of the call were sent or may still be sent. A call that is canceled while it has a
// connection returns before its writer does.
func (p *progress) maySend(ctx context.Context) bool {
	return p.wrote.Load() || p.connected.Load() && ctx.Err() != nil
}

// traceProgress returns a context that records the progress of a call.
func traceProgress(ctx context.Context) (context.Context, *progress) {
	p := &progress{}
	mark := func() { p.wrote.Store(true) }
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:          func(httptrace.GotConnInfo) { p.connected.Store(true) },
		WroteHeaderField: func(string, []string) { mark() },
		WroteHeaders:     mark,
		WroteRequest:     func(info httptrace.WroteRequestInfo) { p.wrote.CompareAndSwap(false, info.Err == nil) },
	}), p
}

// Relay implements clementineport.Peer.
func (c *client) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if len(r.Calls) == 0 {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := c.opts.InactivityTimeout
	if !r.Calls[0].Idempotent {
		timeout = c.opts.NonIdempotentInactivityTimeout
	}
	timer := time.AfterFunc(timeout, func() { cancel(errInactive) })
	defer timer.Stop()
	ctx, sent := traceProgress(ctx)
	conn := c.conn.Load()
	err := c.relay(ctx, conn, r, func(m *cpwire.RelayResponse) {
		timer.Reset(timeout)
		c.opts.OnRevision(clementineport.Revision(m.GetRevision()), "")
		for _, result := range m.GetResults() {
			deliver(cpmessage.DecodeResult(result, r.Calls[0].Request))
		}
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errInactive) && sent.maySend(ctx):
		c.replace(conn)
		return &clementineport.Error{Fault: clementineport.FaultTimeout, Reason: errInactive.Error(), Err: err}
	default:
		return classify(ctx, err, sent.maySend(ctx))
	}
}

func (c *client) relay(ctx context.Context, conn *connection, r *clementineport.RelayRequest, received func(*cpwire.RelayResponse)) error {
	req := connect.NewRequest(cpmessage.EncodeRelay(r, c.opts.Clock.Now(), c.opts.Tracer.Inject(ctx)))
	c.opts.Token.Set(req.Header())
	stream, err := conn.service.Relay(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		received(stream.Msg())
	}
	return stream.Err()
}

// Exchange implements clementineport.Peer.
func (c *client) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	ctx, sent := traceProgress(ctx)
	req := connect.NewRequest(cpmessage.EncodeDigest(d))
	c.opts.Token.Set(req.Header())
	conn := c.conn.Load()
	resp, err := conn.service.Exchange(ctx, req)
	if err != nil {
		return nil, c.handleError(ctx, conn, err, sent.maySend(ctx))
	}
	return cpmessage.DecodeDigest(resp.Msg), nil
}

// Config implements clementineport.Peer.
func (c *client) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	ctx, sent := traceProgress(ctx)
	req := connect.NewRequest(&cpwire.ConfigRequest{Have: uint64(have.Revision), Era: proto.Uint64(uint64(have.Era))})
	c.opts.Token.Set(req.Header())
	conn := c.conn.Load()
	resp, err := conn.config.Config(ctx, req)
	if err != nil {
		return nil, c.handleError(ctx, conn, err, sent.maySend(ctx))
	}
	if len(resp.Msg.GetConfig()) == 0 {
		return nil, nil
	}
	cfg, err := c.opts.DecodeConfig(resp.Msg.GetConfig())
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "configuration of a peer", Err: err}
	}
	return cfg, nil
}

// Close implements clementineport.Peer.
func (c *client) Close() error {
	c.conn.Load().transport.CloseIdleConnections()
	return nil
}
