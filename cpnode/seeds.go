package cpnode

import (
	"context"
	"sync/atomic"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
)

// seededList is the platform's list of VMs, or, until that has answered once, what the peers that the
// settings name know of the members.
type seededList struct {
	clementineport.Directory
	n      *Node
	listed atomic.Bool
}

// List implements clementineport.Directory.
func (s *seededList) List(ctx context.Context) ([]clementineport.VM, error) {
	vms, err := s.Directory.List(ctx)
	if err == nil {
		s.listed.Store(true)
		return vms, nil
	}
	if s.listed.Load() {
		return nil, err
	}
	// The list may have used up the time that it was given.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), seedTimeout)
	defer cancel()
	for _, address := range s.n.settings.Peers {
		if vms := s.ask(ctx, address); len(vms) > 0 {
			return vms, nil
		}
	}
	return nil, err
}

// ask returns the members that a peer knows, with this VM and the peer itself.
func (s *seededList) ask(ctx context.Context, address string) []clementineport.VM {
	peer := cpconnect.New(append(s.n.peerOptions(), cpconnect.WithAddress(address))...)
	defer func() { _ = peer.Close() }()
	digest, err := peer.Exchange(ctx, &clementineport.Digest{
		From: clementineport.Member{VM: s.n.self, Start: s.n.start},
	})
	if err != nil {
		return nil
	}
	vms := []clementineport.VM{s.n.self, digest.From.VM}
	for i := range digest.Members {
		if m := &digest.Members[i]; m.State != clementineport.MemberDead && m.ID != s.n.self.ID && m.ID != digest.From.ID {
			vms = append(vms, m.VM)
		}
	}
	return vms
}
