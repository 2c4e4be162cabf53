package cpentryvm

import (
	"context"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcontrol"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cppeer"
)

// peerHandler serves calls from other VMs. The entry handles queries; the control loop handles membership and
// configuration.
type peerHandler struct {
	*cpentry.Entry
	control *cpcontrol.Control
}

func (n *Node) peerHandler() cppeer.Handler { return &peerHandler{n.entry, n.control} }

// Exchange implements cppeer.Handler.
func (h *peerHandler) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	return h.control.Exchange(ctx, d)
}

// Config implements cppeer.Handler.
func (h *peerHandler) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	return h.control.Config(ctx, have)
}
