// Package cpdigest limits the size of the digests that two VMs exchange. It neither selects members nor encodes them.
package cpdigest

import "github.com/clementineport/clementineport"

// memberBytes is the size of an encoded member without its strings.
const memberBytes = 24

// Builder adds members to a digest up to a maximum size in bytes.
type Builder struct {
	digest    *clementineport.Digest
	remaining int
}

// NewBuilder returns a builder for a digest of about maxBytes bytes.
func NewBuilder(d *clementineport.Digest, maxBytes int) *Builder {
	return &Builder{digest: d, remaining: maxBytes - size(&d.From)}
}

// Fits reports whether there is room for a member. The first member always fits.
func (b *Builder) Fits(r *clementineport.Member) bool {
	return len(b.digest.Members) == 0 || size(r) <= b.remaining
}

// Add adds a member.
func (b *Builder) Add(r clementineport.Member) {
	b.digest.Members = append(b.digest.Members, r)
	b.remaining -= size(&r)
}

// Size returns the approximate encoded size of a digest in bytes.
func Size(d *clementineport.Digest) int {
	n := size(&d.From)
	for i := range d.Members {
		n += size(&d.Members[i])
	}
	return n
}

// size returns the approximate encoded size of a member in bytes.
func size(r *clementineport.Member) int {
	return memberBytes + len(r.ID) + len(r.Domain) + len(r.Caller) + len(r.Peer) + len(r.Operator) +
		len(r.Start) + len(r.Ticket)
}
