package cpconnect

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
	"github.com/clementineport/clementineport/cptoken"
	"github.com/clementineport/clementineport/cpwire"
	"github.com/clementineport/clementineport/cpwire/cpwireconnect"
)

type handler struct {
	opts Options
	next cppeer.Handler
}

// NewHandler returns the HTTP handler for calls from other VMs.
func NewHandler(next cppeer.Handler, opts ...Option) http.Handler {
	h := &handler{opts: newOptions(opts), next: next}
	path, service := cpwireconnect.NewPeerServiceHandler(h,
		connect.WithReadMaxBytes(h.opts.MaxMessageSize), connect.WithSendMaxBytes(h.opts.MaxMessageSize),
		connect.WithCompression("gzip", nil, nil), connect.WithCompressMinBytes(minCompressedBytes),
		connect.WithCompression(compressionName, newDecompressor(h.opts.MaxMessageSize), newCompressor))
	mux := http.NewServeMux()
	mux.Handle(path, cptoken.Require(h.opts.Token, service))
	return mux
}

// Relay implements cpwireconnect.PeerServiceHandler.
func (h *handler) Relay(ctx context.Context, req *connect.Request[cpwire.RelayRequest], stream *connect.ServerStream[cpwire.RelayResponse]) error {
	m := req.Msg
	h.opts.OnRevision(clementineport.Revision(m.GetRevision()), clementineport.VMID(m.GetFrom()))
	ctx = h.opts.Tracer.Extract(ctx, m.GetTraceparent())
	r := cpmessage.DecodeRelay(m, h.opts.Clock.Now())
	results := make(chan clementineport.CallResult, len(r.Calls))
	relayErr := make(chan error, 1)
	go func() {
		relayErr <- h.next.Relay(ctx, r, func(result clementineport.CallResult) { results <- result })
		close(results)
	}()
	if err := h.sendResults(stream, results, clementineport.RequestID(m.GetRequest())); err != nil {
		return err
	}
	if err := <-relayErr; err != nil {
		return handlerError(ctx, err)
	}
	return nil
}

// sendResults sends each result immediately, together with any others that are ready. It also sends an
// empty message at every heartbeat interval, so that the caller can distinguish a slow target from an unresponsive VM.
func (h *handler) sendResults(
	stream *connect.ServerStream[cpwire.RelayResponse], results <-chan clementineport.CallResult, requestID clementineport.RequestID,
) error {
	ticker := time.NewTicker(h.opts.HeartbeatInterval)
	defer ticker.Stop()
	for {
		m := &cpwire.RelayResponse{Revision: uint64(h.opts.Revision())}
		select {
		case first, ok := <-results:
			if !ok {
				return nil
			}
			m.Results = append(m.Results, cpmessage.EncodeResult(&first, requestID))
			for more := len(results); more > 0; more-- {
				r := <-results
				m.Results = append(m.Results, cpmessage.EncodeResult(&r, requestID))
			}
		case <-ticker.C:
		}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
}

// handlerError returns the error to send for a failed call. A call whose context has ended fails with the error of
// its context.
func handlerError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return connect.NewError(connect.CodeInternal, err)
}

// Exchange implements cpwireconnect.PeerServiceHandler.
func (h *handler) Exchange(ctx context.Context, req *connect.Request[cpwire.Digest]) (*connect.Response[cpwire.Digest], error) {
	reply, err := h.next.Exchange(ctx, cpmessage.DecodeDigest(req.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(cpmessage.EncodeDigest(reply)), nil
}

// position returns the position that a request for the configuration states. A VM of an earlier build states no era.
func (h *handler) position(m *cpwire.ConfigRequest) clementineport.StorePosition {
	era := h.opts.StoreEra()
	if m.Era != nil {
		era = clementineport.StoreEra(m.GetEra())
	}
	return clementineport.StorePosition{Era: era, Revision: clementineport.Revision(m.GetHave())}
}

// Config implements cpwireconnect.PeerServiceHandler.
func (h *handler) Config(ctx context.Context, req *connect.Request[cpwire.ConfigRequest]) (*connect.Response[cpwire.ConfigResponse], error) {
	cfg, err := h.next.Config(ctx, h.position(req.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	resp := &cpwire.ConfigResponse{}
	if cfg != nil {
		if resp.Config, err = h.opts.EncodeConfig(cfg); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
	}
	return connect.NewResponse(resp), nil
}
