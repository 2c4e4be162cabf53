// Package cpconnect is the peer port over connect and unencrypted HTTP/2. It translates messages, carries
// the token, the revision and the trace context, and tells what a failed call proves.
package cpconnect

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
	"github.com/clementineport/clementineport/cpwire/cpwireconnect"
)

// Tracer carries a trace context from one process to another.
type Tracer interface {
	// Inject returns the trace context of ctx in the W3C traceparent form.
	Inject(ctx context.Context) string
	// Extract returns ctx with a trace context received.
	Extract(ctx context.Context, traceparent string) context.Context
}

var errSilent = errors.New("the VM sent nothing for too long")

type noTracer struct{}

func (noTracer) Inject(context.Context) string                         { return "" }
func (noTracer) Extract(ctx context.Context, _ string) context.Context { return ctx }

func newOptions(opts []Option) Options {
	o := Options{
		MaxMessageSize: defaultMaxMessageSize,
		Heartbeat:      defaultHeartbeat,
		SilentAfter:    defaultSilentAfter,
		Tracer:         noTracer{},
		Revision:       func() clementineport.Revision { return 0 },
		Seen:           func(clementineport.Revision, clementineport.VMID) {},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// NewTransport returns an HTTP/2 transport that notices a silent connection by pings.
func NewTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext,
		Protocols:   &protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: defaultPingAfter,
			PingTimeout:     defaultPingTimeout,
		},
	}
}

type client struct {
	opts   Options
	http   *http.Client
	remote cpwireconnect.PeerServiceClient
}

// New returns a client for the VM at an address.
func New(opts ...Option) clementineport.Peer {
	o := newOptions(opts)
	if o.Transport == nil {
		o.Transport = NewTransport()
	}
	hc := &http.Client{Transport: o.Transport}
	remote := cpwireconnect.NewPeerServiceClient(hc, "http://"+o.Address,
		connect.WithReadMaxBytes(o.MaxMessageSize), connect.WithSendMaxBytes(o.MaxMessageSize),
		connect.WithAcceptCompression("gzip", nil, nil))
	return &client{opts: o, http: hc, remote: remote}
}

// watchSent returns a context that records whether bytes of a request may have left.
func watchSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	mark := func() { sent.Store(true) }
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { mark() },
		WroteHeaders:     mark,
		WroteRequest:     func(info httptrace.WroteRequestInfo) { sent.CompareAndSwap(false, info.Err == nil) },
	}), sent
}

// Relay implements clementineport.Peer.
func (c *client) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if len(r.Calls) == 0 {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.opts.SilentAfter, func() { cancel(errSilent) })
	defer silence.Stop()
	ctx, sent := watchSent(ctx)
	err := c.relay(ctx, r, func(m *cpwire.RelayResponse) {
		silence.Reset(c.opts.SilentAfter)
		c.opts.Seen(clementineport.Revision(m.GetRevision()), "")
		for _, result := range m.GetResults() {
			deliver(resultFromWire(result, r.Calls[0].Request))
		}
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errSilent) && sent.Load():
		return &clementineport.Error{Fault: clementineport.FaultTimeout, Reason: errSilent.Error(), Err: err}
	default:
		return classify(ctx, err, sent.Load())
	}
}

func (c *client) relay(ctx context.Context, r *clementineport.RelayRequest, received func(*cpwire.RelayResponse)) error {
	req := connect.NewRequest(relayToWire(r, c.opts.Clock.Now(), c.opts.Tracer.Inject(ctx)))
	c.opts.Token.Set(req.Header())
	stream, err := c.remote.Relay(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		received(stream.Msg())
	}
	return stream.Err()
}

// DigestMessage returns a digest as it is sent.
func DigestMessage(d *clementineport.Digest) *cpwire.ExchangeRequest {
	return &cpwire.ExchangeRequest{
		From:       memberToWire(&d.From),
		Revision:   uint64(d.Revision),
		FreshNanos: int64(d.Fresh),
		Members:    membersToWire(d.Members),
	}
}

// Exchange implements clementineport.Peer.
func (c *client) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	ctx, sent := watchSent(ctx)
	req := connect.NewRequest(DigestMessage(d))
	c.opts.Token.Set(req.Header())
	resp, err := c.remote.Exchange(ctx, req)
	if err != nil {
		return nil, classify(ctx, err, sent.Load())
	}
	m := resp.Msg
	return &clementineport.Digest{
		From:     memberFromWire(m.GetFrom()),
		Revision: clementineport.Revision(m.GetRevision()),
		Fresh:    time.Duration(m.GetFreshNanos()),
		Members:  membersFromWire(m.GetMembers()),
	}, nil
}

// Config implements clementineport.Peer.
func (c *client) Config(ctx context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	ctx, sent := watchSent(ctx)
	req := connect.NewRequest(&cpwire.ConfigRequest{Have: uint64(have)})
	c.opts.Token.Set(req.Header())
	resp, err := c.remote.Config(ctx, req)
	if err != nil {
		return nil, classify(ctx, err, sent.Load())
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
	c.http.CloseIdleConnections()
	return nil
}
