// Package cpconnshare decides how many of a target's connections a VM may open, so that the shares of all VMs stay
// within the target's limit while views of the ownership differ. It opens none and knows no VM.
package cpconnshare

// Role is what a VM is for a target in its own view.
type Role uint8

const (
	// Other has no part in calls to the target.
	Other Role = iota
	// Owner makes the calls to the target.
	Owner
	// Standby makes them when the owner is not reached.
	Standby
)

// Shares of a target's connections, in twelfths. An owner that is being replaced, its successor and both
// deputies stay within the limit together, also while the connections of a lost VM still count at the target.
const (
	parts       = 12
	ownerParts  = 5
	deputyParts = 1
)

// Connections returns how many of a target's connections a VM in a role may open.
func Connections(limit int, r Role) int {
	switch r {
	case Owner:
		return max(1, limit*ownerParts/parts)
	case Standby:
		return max(1, limit*deputyParts/parts)
	default:
		return 0
	}
}
