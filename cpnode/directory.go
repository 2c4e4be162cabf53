package cpnode

import (
	"context"

	"github.com/clementineport/clementineport"
)

// directory is the platform's list of VMs; when it does not answer, the VMs whose addresses are in the
// settings are asked instead.
type directory struct {
	platform clementineport.Directory
	self     clementineport.Member
	seeds    []clementineport.Peer
}

func (n *Node) newDirectory(self clementineport.Member) *directory {
	d := &directory{platform: n.list, self: self}
	for _, address := range n.settings.Peers {
		d.seeds = append(d.seeds, n.dialPeer(clementineport.VM{Peer: address}))
	}
	return d
}

// List implements clementineport.Directory.
func (d *directory) List(ctx context.Context) ([]clementineport.VM, error) {
	vms, err := d.platform.List(ctx)
	if err == nil || len(d.seeds) == 0 {
		return vms, err
	}
	for _, seed := range d.seeds {
		digest, seedErr := seed.Exchange(ctx, &clementineport.Digest{From: d.self})
		if seedErr != nil {
			continue
		}
		return membersOf(digest), nil
	}
	return nil, err
}

func membersOf(d *clementineport.Digest) []clementineport.VM {
	vms := []clementineport.VM{d.From.VM}
	for i := range d.Members {
		if d.Members[i].State != clementineport.MemberDead {
			vms = append(vms, d.Members[i].VM)
		}
	}
	return vms
}
