package cpopaque

import (
	"io"
	"sync/atomic"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget/cpopaqueconn"
)

const (
	// freeBytes is the part of a response that is read without drawing on a budget.
	freeBytes = 64 << 10
	// drawBytes is the number of bytes that are drawn from a budget at once.
	drawBytes = 64 << 10
)

// ReadBudget bounds the bytes of large responses that all clients of a process read at the same time. Its methods are safe
// for concurrent use.
type ReadBudget struct {
	left atomic.Int64
}

// NewReadBudget returns a budget of a number of bytes.
func NewReadBudget(n int64) *ReadBudget {
	b := &ReadBudget{}
	b.left.Store(n)
	return b
}

// draw takes drawBytes from the budget and reports whether there were so many.
func (b *ReadBudget) draw() bool {
	if b.left.Add(-drawBytes) >= 0 {
		return true
	}
	b.left.Add(drawBytes)
	return false
}

// budgetReader reads a response. What exceeds freeBytes is drawn from a budget.
type budgetReader struct {
	io.Reader
	budget *ReadBudget
	// memory counts what exceeds freeBytes until the answer to the request is written. It may be nil.
	memory clementineport.MemoryAccount
	// allowed is the number of bytes that may be read, of which drawn are from the budget.
	allowed, drawn int64
}

// Read implements io.Reader. It fails if the budget is used up.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), drawBytes)])
	for r.allowed -= int64(n); r.allowed < 0; r.allowed += drawBytes {
		if !r.budget.draw() {
			return n, cpopaqueconn.ErrOversized
		}
		r.drawn += drawBytes
		if r.memory != nil && r.memory.Grow(drawBytes) != nil {
			return n, cpopaqueconn.ErrOversized
		}
	}
	return n, err
}

// release returns to the budget what was drawn.
func (r *budgetReader) release() { r.budget.left.Add(r.drawn) }
