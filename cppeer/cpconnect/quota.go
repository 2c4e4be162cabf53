package cpconnect

import (
	"context"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cpwire"
)

// Quota implements clementineport.Peer.
func (c *client) Quota(ctx context.Context, r *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	ctx, sent := traceProgress(ctx)
	req := connect.NewRequest(cpmessage.EncodeQuota(r))
	c.opts.Token.Set(req.Header())
	conn := c.conn.Load()
	resp, err := conn.service.Quota(ctx, req)
	if err != nil {
		return nil, c.handleError(ctx, conn, err, sent.maySend(ctx))
	}
	return cpmessage.DecodeQuotaAnswer(resp.Msg), nil
}

// Quota implements cpwireconnect.PeerServiceHandler.
func (h *handler) Quota(ctx context.Context, req *connect.Request[cpwire.QuotaRequest]) (*connect.Response[cpwire.QuotaResponse], error) {
	answer, err := h.next.Quota(ctx, cpmessage.DecodeQuota(req.Msg))
	if err != nil {
		return nil, handlerError(ctx, err)
	}
	return connect.NewResponse(cpmessage.EncodeQuotaAnswer(answer)), nil
}
