package cpconnect

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cpwire"
)

// Forward implements clementineport.Peer.
func (c *client) Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	ctx, sent := traceProgress(ctx)
	req := connect.NewRequest(&cpwire.ForwardRequest{
		From:        string(c.opts.Self),
		Revision:    uint64(c.opts.Revision()),
		Request:     string(q.Request),
		Service:     string(q.Service),
		Text:        q.Text,
		Limit:       int32(q.Limit),
		LeftNanos:   int64(q.Deadline.Sub(c.opts.Clock.Now())),
		Traceparent: c.opts.Tracer.Inject(ctx),
	})
	c.opts.Token.Set(req.Header())
	conn := c.conn.Load()
	resp, err := conn.service.Forward(ctx, req)
	if err != nil {
		return nil, c.handleError(ctx, conn, err, sent.maySend(ctx))
	}
	m := resp.Msg
	if len(m.GetAnswer()) == 0 {
		return nil, cpmessage.DecodeError(m.GetFault(), m.GetReason(), m.GetRetryAfterNanos())
	}
	answer := &clementineport.Answer{}
	if err := json.Unmarshal(m.GetAnswer(), answer); err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Err: err}
	}
	if answer.Request != q.Request {
		return nil, clementineport.Fail(clementineport.FaultMismatched, "answer to request %s", answer.Request)
	}
	return answer, nil
}

// Forward implements cpwireconnect.PeerServiceHandler.
func (h *handler) Forward(ctx context.Context, req *connect.Request[cpwire.ForwardRequest]) (*connect.Response[cpwire.ForwardResponse], error) {
	m := req.Msg
	h.opts.OnRevision(clementineport.Revision(m.GetRevision()), clementineport.VMID(m.GetFrom()))
	ctx = h.opts.Tracer.Extract(ctx, m.GetTraceparent())
	answer, err := h.next.Forward(ctx, &clementineport.Query{
		Request:  clementineport.RequestID(m.GetRequest()),
		Service:  clementineport.ServiceID(m.GetService()),
		Text:     m.GetText(),
		Limit:    int(m.GetLimit()),
		Deadline: h.opts.Clock.Now().Add(time.Duration(m.GetLeftNanos())),
	})
	resp := &cpwire.ForwardResponse{}
	if err != nil {
		resp.Fault, resp.Reason, resp.RetryAfterNanos = cpmessage.EncodeError(err)
		return connect.NewResponse(resp), nil
	}
	if resp.Answer, err = json.Marshal(answer); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(resp), nil
}
