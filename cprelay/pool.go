package cprelay

import (
	"sync"
	"sync/atomic"

	"github.com/clementineport/clementineport"
)

// Dial makes the connection to a target with a share of its connections.
type Dial func(t *clementineport.TargetRow, connections int) clementineport.Target

// resizer is a Target whose share of connections can change.
type resizer interface {
	Resize(connections int)
}

// Pool keeps the connections to the targets that this VM may call.
type Pool struct {
	dial Dial
	// mu is held by changes; a change replaces the whole map, so that calls read it without a lock.
	mu      sync.Mutex
	targets atomic.Pointer[map[clementineport.TargetID]pooled]
}

type pooled struct {
	address     string
	connections int
	target      clementineport.Target
}

// NewPool returns a Pool that may call no target yet.
func NewPool(dial Dial) *Pool {
	p := &Pool{dial: dial}
	p.targets.Store(&map[clementineport.TargetID]pooled{})
	return p
}

// Target implements Targets.
func (p *Pool) Target(id clementineport.TargetID) (clementineport.Target, error) {
	known, ok := (*p.targets.Load())[id]
	if !ok {
		return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM does not serve target %s", id)
	}
	return known.target, nil
}

// Update takes in a table; share returns how many connections this VM may open to a target, or zero.
func (p *Pool) Update(table *clementineport.Table, share func(clementineport.TargetIndex) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.targets.Load()
	next := make(map[clementineport.TargetID]pooled, len(old))
	for i := range table.Targets {
		row := &table.Targets[i]
		if n := share(clementineport.TargetIndex(i)); n > 0 {
			next[row.ID] = p.keep(old, row, n)
		}
	}
	p.targets.Store(&next)
	closeAll(old, next)
}

// keep returns the connection to a target with its share, dialed anew when the address has changed.
func (p *Pool) keep(old map[clementineport.TargetID]pooled, row *clementineport.TargetRow, connections int) pooled {
	known, ok := old[row.ID]
	if !ok || known.address != row.Address {
		return pooled{row.Address, connections, p.dial(row, connections)}
	}
	if known.connections != connections {
		if r, can := known.target.(resizer); can {
			r.Resize(connections)
		}
		known.connections = connections
	}
	return known
}

// closeAll closes the idle connections of the targets that next does not have; calls in progress end by themselves.
func closeAll(old, next map[clementineport.TargetID]pooled) {
	for id, known := range old {
		if next[id].target != known.target {
			_ = known.target.Close()
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.targets.Swap(&map[clementineport.TargetID]pooled{})
	closeAll(old, nil)
}
