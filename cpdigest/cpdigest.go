// Package cpdigest decides what fits into the digest that two VMs swap. It chooses no member and encodes nothing.
package cpdigest

import "github.com/clementineport/clementineport"

// memberBytes is the size of an encoded member without its strings.
const memberBytes = 24

// Builder adds members to a digest within a number of bytes.
type Builder struct {
	digest    *clementineport.Digest
	remaining int
}

// NewBuilder returns a builder for a digest of about most bytes.
func NewBuilder(d *clementineport.Digest, maxBytes int) *Builder {
	return &Builder{digest: d, remaining: maxBytes - size(&d.From)}
}

// Fits reports whether there is room for a member; there always is for the first one.
func (b *Builder) Fits(r *clementineport.Member) bool {
	return len(b.digest.Members) == 0 || size(r) <= b.remaining
}

// Add adds a member.
func (b *Builder) Add(r clementineport.Member) {
	b.digest.Members = append(b.digest.Members, r)
	b.remaining -= size(&r)
}

// Size returns about how many bytes a digest takes in a message.
func Size(d *clementineport.Digest) int {
	n := size(&d.From)
	for i := range d.Members {
		n += size(&d.Members[i])
	}
	return n
}

// size returns about how many bytes the member takes in a message.
func size(r *clementineport.Member) int {
	return memberBytes + len(r.ID) + len(r.Domain) + len(r.Caller) + len(r.Peer) + len(r.Operator) +
		len(r.Start) + len(r.Ticket)
}
