package cpconnect

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

// Reroute implements clementineport.Peer.
func (c *client) Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	ctx, sent := traceProgress(ctx)
	now := c.opts.Clock.Now()
	req := connect.NewRequest(&cpwire.RerouteRequest{
		From:            string(r.From),
		Version:         uint64(r.Version),
		Request:         []byte(r.ID),
		Method:          []byte(r.Method),
		Host:            []byte(r.Host),
		URI:             []byte(r.URI),
		Headers:         headersToWire(r.Header),
		Body:            r.Body,
		LeftNanos:       int64(r.Deadline.Sub(now)),
		ElapsedNanos:    int64(now.Sub(r.Arrived)),
		MaxWaitNanos:    int64(r.MaxWait),
		EarlierAttempts: int32(r.EarlierAttempts),
		Traceparent:     c.opts.Tracer.Inject(ctx),
	})
	c.opts.Token.Set(req.Header())
	conn := c.conn.Load()
	resp, err := conn.service.Reroute(ctx, req)
	if err != nil {
		return nil, c.handleError(ctx, conn, err, sent.maySend(ctx))
	}
	return reroutedFromWire(resp.Msg)
}

// Reroute implements cpwireconnect.PeerServiceHandler.
func (h *handler) Reroute(ctx context.Context, req *connect.Request[cpwire.RerouteRequest]) (*connect.Response[cpwire.RerouteResponse], error) {
	m, now := req.Msg, h.opts.Clock.Now()
	ctx = h.opts.Tracer.Extract(ctx, m.GetTraceparent())
	result, err := h.next.Reroute(ctx, &clementineport.ReroutedRequest{
		OpaqueRequest: clementineport.OpaqueRequest{
			ID:              clementineport.RequestID(m.GetRequest()),
			Method:          string(m.GetMethod()),
			Host:            string(m.GetHost()),
			URI:             string(m.GetURI()),
			Header:          headersFromWire(m.GetHeaders()),
			Body:            m.GetBody(),
			Arrived:         now.Add(-time.Duration(m.GetElapsedNanos())),
			Deadline:        now.Add(time.Duration(m.GetLeftNanos())),
			MaxWait:         time.Duration(m.GetMaxWaitNanos()),
			EarlierAttempts: int(m.GetEarlierAttempts()),
		},
		From:    clementineport.VMID(m.GetFrom()),
		Version: clementineport.Revision(m.GetVersion()),
	})
	if err != nil {
		resp := &cpwire.RerouteResponse{}
		resp.Fault, resp.Reason, resp.RetryAfterNanos = errorToWire(err)
		return connect.NewResponse(resp), nil
	}
	return connect.NewResponse(reroutedToWire(result)), nil
}

func reroutedToWire(r *clementineport.ReroutedResult) *cpwire.RerouteResponse {
	m := &cpwire.RerouteResponse{Version: uint64(r.Version)}
	switch {
	case r.Part != nil:
		m.Response = &cpwire.OpaqueResponse{
			Target: string(r.Part.Target), Status: int32(r.Part.Status), Headers: headersToWire(r.Part.Header), Body: r.Part.Body,
			Signature: []byte(r.Part.Signature),
		}
	case r.Gathered != nil:
		m.Gathered = &cpwire.GatheredResponse{Missing: int32(r.Gathered.Missing), Body: r.Gathered.Body}
		for _, s := range r.Gathered.Signatures {
			m.Gathered.Signatures = append(m.Gathered.Signatures, []byte(s))
		}
	default:
		m.Fault, m.Reason, m.RetryAfterNanos = errorToWire(r.Err)
	}
	return m
}

func reroutedFromWire(m *cpwire.RerouteResponse) (*clementineport.ReroutedResult, error) {
	r := &clementineport.ReroutedResult{Version: clementineport.Revision(m.GetVersion())}
	switch {
	case m.GetResponse() != nil:
		p := m.GetResponse()
		r.Part = &clementineport.OpaqueResponse{
			Target: clementineport.TargetID(p.GetTarget()), Status: int(p.GetStatus()), Header: headersFromWire(p.GetHeaders()),
			Body: p.GetBody(), Signature: string(p.GetSignature()),
		}
		if r.Part.Status < http.StatusOK || r.Part.Status > maxStatus {
			return nil, clementineport.Fail(clementineport.FaultMalformed, "rerouted response with status %d", r.Part.Status)
		}
	case m.GetGathered() != nil:
		g := m.GetGathered()
		r.Gathered = &clementineport.GatheredResponse{Missing: int(g.GetMissing()), Body: g.GetBody()}
		for _, s := range g.GetSignatures() {
			r.Gathered.Signatures = append(r.Gathered.Signatures, string(s))
		}
	default:
		r.Err = errorFromWire(m.GetFault(), m.GetReason(), m.GetRetryAfterNanos())
	}
	return r, nil
}

// maxStatus is the highest status that net/http writes.
const maxStatus = 999

func headersToWire(h http.Header) []*cpwire.Header {
	out := make([]*cpwire.Header, 0, len(h))
	for name, values := range h {
		m := &cpwire.Header{Name: []byte(name)}
		for _, v := range values {
			m.Values = append(m.Values, []byte(v))
		}
		out = append(out, m)
	}
	return out
}

func headersFromWire(headers []*cpwire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, m := range headers {
		for _, v := range m.GetValues() {
			h[string(m.GetName())] = append(h[string(m.GetName())], string(v))
		}
	}
	return h
}
