package cpforward

import (
	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// Result is the result of a forwarded request.
type Result struct {
	clementineport.OpaqueResult
	Stats cpfanout.Stats
	// Unreached is true if the request failed because this VM has lost its path to the targets, and may be run by another
	// VM. Attempts is the number of targets of a shard that may have got it.
	Unreached bool
	Attempts  int
	// Via is the VM that ran the request for this one, or empty.
	Via clementineport.VMID
	// ViaVersion is the version of the routes by which Via handled the request, or zero.
	ViaVersion clementineport.Revision
}

// Failed returns the result of a failed request.
func Failed(err *clementineport.Error) *Result {
	return &Result{OpaqueResult: clementineport.OpaqueResult{Err: err}}
}
