package clementineport

import (
	"cmp"
	"fmt"
)

// StoreEra numbers the restores of the platform's store from a copy. A store that was restored has lost the writes after
// that copy, and gives out their revisions again. Zero is the era of a store that states none.
type StoreEra uint64

// StorePosition is a position in the history of the platform's store. The revisions of two eras can't be compared.
type StorePosition struct {
	Era      StoreEra
	Revision Revision
}

// IsZero reports whether the position is before everything that a store holds.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }

// Before reports whether p is earlier than other: in an earlier era, or at a lower revision of the same one.
func (p StorePosition) Before(other StorePosition) bool { return p.Compare(other) < 0 }

// Compare returns a negative number if p is earlier than other, zero if they are equal and a positive number otherwise.
func (p StorePosition) Compare(other StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// String returns the position as era/revision.
func (p StorePosition) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
