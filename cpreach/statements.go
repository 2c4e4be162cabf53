package cpreach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Statements holds the latest that each VM has stated about whether it reaches targets. It is not safe for concurrent use.
type Statements struct {
	all map[clementineport.VMID]statement
}

// statement is the latest statement of a VM.
type statement struct {
	lost bool
	seq  clementineport.StatementSeq
	// at is when the VM stated it, and learnedAt when this VM learned the present value.
	at        time.Time
	learnedAt time.Time
}

// NewStatements returns no statements: all VMs are taken to reach targets.
func NewStatements() *Statements { return &Statements{all: map[clementineport.VMID]statement{}} }

// State records what this VM states about itself, and reports whether that changes what is known. It holds whatever is known.
func (s *Statements) State(now time.Time, self clementineport.VMID, lost bool) (changed bool) {
	known := s.all[self]
	s.all[self] = statement{lost: lost, seq: known.seq.Next(now), at: now, learnedAt: now}
	return lost != known.lost
}

// Set records a statement, and reports whether it changes what is known. The latest statement of a VM holds, whatever the
// order in which they arrive.
func (s *Statements) Set(now time.Time, r *clementineport.VMReach) (changed bool) {
	known, ok := s.all[r.VM]
	at := now.Add(-max(r.Age, 0))
	if ok && r.Seq.Compare(at, known.seq, known.at) <= 0 {
		return false
	}
	next := statement{lost: r.Lost, seq: max(r.Seq, known.seq), at: at, learnedAt: known.learnedAt}
	changed = r.Lost != known.lost
	if changed || !ok {
		next.learnedAt = now // others may know only that the VM had lost its path
	}
	s.all[r.VM] = next
	return changed
}

// Lost returns the VMs that state that they reach no target.
func (s *Statements) Lost() map[clementineport.VMID]bool {
	lost := map[clementineport.VMID]bool{}
	for vm, known := range s.all {
		if known.lost {
			lost[vm] = true
		}
	}
	return lost
}

// Since returns the statements whose present value this VM learned after a time, the latest first.
func (s *Statements) Since(now, after time.Time) (reach []clementineport.VMReach) {
	for vm, known := range s.all {
		if known.learnedAt.After(after) {
			reach = append(reach, clementineport.VMReach{VM: vm, Lost: known.lost, Age: now.Sub(known.at), Seq: known.seq})
		}
	}
	slices.SortFunc(reach, func(a, b clementineport.VMReach) int {
		return cmp.Or(s.all[b.VM].learnedAt.Compare(s.all[a.VM].learnedAt), cmp.Compare(a.VM, b.VM))
	})
	return reach
}

// Forget drops what is known of VMs for which gone returns true.
func (s *Statements) Forget(gone func(clementineport.VMID) bool) {
	maps.DeleteFunc(s.all, func(vm clementineport.VMID, _ statement) bool { return gone(vm) })
}
