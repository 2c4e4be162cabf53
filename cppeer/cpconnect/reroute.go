package cpconnect

import (
	"context"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cpwire"
)

// Reroute implements clementineport.Peer.
func (c *client) Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	ctx, sent := traceProgress(ctx)
	req := connect.NewRequest(cpmessage.EncodeReroute(r, c.opts.Clock.Now(), c.opts.Tracer.Inject(ctx)))
	c.opts.Token.Set(req.Header())
	conn := c.conn.Load()
	resp, err := conn.service.Reroute(ctx, req)
	if err != nil {
		return nil, c.handleError(ctx, conn, err, sent.maySend(ctx))
	}
	return cpmessage.DecodeRerouted(resp.Msg)
}

// Reroute implements cpwireconnect.PeerServiceHandler.
func (h *handler) Reroute(ctx context.Context, req *connect.Request[cpwire.RerouteRequest]) (*connect.Response[cpwire.RerouteResponse], error) {
	ctx = h.opts.Tracer.Extract(ctx, req.Msg.GetTraceparent())
	result, err := h.next.Reroute(ctx, cpmessage.DecodeReroute(req.Msg, h.opts.Clock.Now()))
	if err != nil {
		resp := &cpwire.RerouteResponse{}
		resp.Fault, resp.Reason, resp.RetryAfterNanos = cpmessage.EncodeError(err)
		return connect.NewResponse(resp), nil
	}
	return connect.NewResponse(cpmessage.EncodeRerouted(result)), nil
}
