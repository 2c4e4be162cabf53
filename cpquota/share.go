package cpquota

import "math"

// Parameters of shares while there is an active set of VMs.
const (
	// reservedPart is the part of a bound that all VMs share equally, whether they are in the set or not. VMs outside it still
	// serve callers that connect to them.
	reservedPart = 0.25
	// maxConnectionsReserve is the largest part of a connection limit that is reserved so that each VM may have a connection.
	maxConnectionsReserve = 0.5
)

// Share is one VM's share of bounds that apply to all VMs together.
type Share struct {
	// VMs is the number of VMs that may send requests.
	VMs int
	// Set is true if there is an active set. The VMs then share a reserved part of each bound equally, and Part is the part of
	// the rest that this VM may use; it is zero outside the set. The sum of Part over all VMs must not exceed one.
	Set  bool
	Part float64
}

// Equal returns the share of one of n VMs that share equally.
func Equal(n int) Share { return Share{VMs: n} }

// of returns this VM's share of a bound, of which a part is reserved if there is a set.
func (s Share) of(total, reserve float64) float64 {
	sharers := float64(max(s.VMs, 1) + unseenVMs)
	if !s.Set {
		return total / sharers
	}
	return reserve/sharers + s.Part*(total-reserve)
}

// slack returns this VM's share of the slack of a RetryBound, in extra calls. As far as the slack allows, each VM may hold one.
func (s Share) slack(total float64) float64 {
	return s.of(total, max(total*reservedPart, min(total, float64(max(s.VMs, 1)+unseenVMs))))
}

// Connections returns this VM's share of a target's connection limit, at least one. If the limit allows it, each VM may have
// one at the same time.
func (s Share) Connections(limit int) int {
	total := float64(limit)
	reserve := total * reservedPart
	if each := float64(max(s.VMs, 1) + unseenVMs); each <= total*maxConnectionsReserve {
		reserve = max(reserve, each)
	}
	return max(1, int(s.of(total, reserve)))
}

// Senders returns the number of VMs that would each have this share if all shared equally.
func (s Share) Senders() int {
	if !s.Set {
		return s.VMs
	}
	return int(math.Ceil(1 / s.of(1, reservedPart)))
}
