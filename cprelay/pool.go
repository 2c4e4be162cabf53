package cprelay

import (
	"sync"
	"sync/atomic"

	"github.com/clementineport/clementineport"
)

// Dial returns a client of a target that may open the given number of connections.
type Dial func(t *clementineport.TargetRow, connections int) clementineport.Target

// resizer is a Target whose maximum number of connections can change.
type resizer interface {
	Resize(connections int)
}

// Pool holds the clients of the targets that this VM may call.
type Pool struct {
	dial Dial
	// mu serializes changes. Each change replaces the map, so that calls read it without a lock.
	mu      sync.Mutex
	targets atomic.Pointer[map[clementineport.TargetID]pooledTarget]
}

type pooledTarget struct {
	address     string
	connections int
	target      clementineport.Target
}

// NewPool returns a Pool without targets.
func NewPool(dial Dial) *Pool {
	p := &Pool{dial: dial}
	p.targets.Store(&map[clementineport.TargetID]pooledTarget{})
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

// Update applies a table. share returns how many connections this VM may open to a target; zero removes the target.
func (p *Pool) Update(table *clementineport.Table, share func(clementineport.TargetIndex) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.targets.Load()
	next := make(map[clementineport.TargetID]pooledTarget, len(old))
	for i := range table.Targets {
		row := &table.Targets[i]
		if n := share(clementineport.TargetIndex(i)); n > 0 {
			next[row.ID] = p.reuseOrDial(old, row, n)
		}
	}
	p.targets.Store(&next)
	closeRemoved(old, next)
}

// reuseOrDial returns the client of a target, resized to the given number of connections. It dials a target that is
// new or whose address has changed.
func (p *Pool) reuseOrDial(old map[clementineport.TargetID]pooledTarget, row *clementineport.TargetRow, connections int) pooledTarget {
	known, ok := old[row.ID]
	if !ok || known.address != row.Address {
		return pooledTarget{row.Address, connections, p.dial(row, connections)}
	}
	if known.connections != connections {
		if r, can := known.target.(resizer); can {
			r.Resize(connections)
		}
		known.connections = connections
	}
	return known
}

// closeRemoved closes the clients in old that next does not hold. Only their idle connections are closed; calls in
// flight run to their end.
func closeRemoved(old, next map[clementineport.TargetID]pooledTarget) {
	for id, known := range old {
		if next[id].target != known.target {
			_ = known.target.Close()
		}
	}
}

// Close closes the clients of all targets.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.targets.Swap(&map[clementineport.TargetID]pooledTarget{})
	closeRemoved(old, nil)
}
