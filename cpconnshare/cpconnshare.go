// Package cpconnshare computes how many connections to a target a VM may open, so that all VMs together stay within the
// connection limit of the target while their views of the ownership differ. It opens no connections.
package cpconnshare

// Role is the role of a VM for a target, in the view of that VM.
type Role uint8

const (
	// Other makes no calls to the target.
	Other Role = iota
	// Owner makes the calls to the target.
	Owner
	// Standby makes the calls when the owner is unreachable.
	Standby
)

// Shares of a target's connections, in twelfths. Together, an owner that is being replaced, its successor and their
// standby owners stay within the limit, even while the target still counts the connections of a lost VM.
const (
	totalParts   = 12
	ownerParts   = 5
	standbyParts = 1
)

// Connections returns how many of a target's connections a VM in a role may open.
func Connections(limit int, r Role) int {
	switch r {
	case Owner:
		return max(1, limit*ownerParts/totalParts)
	case Standby:
		return max(1, limit*standbyParts/totalParts)
	default:
		return 0
	}
}
