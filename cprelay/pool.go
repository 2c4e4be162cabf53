package cprelay

import (
	"sync"

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
	dial    Dial
	mu      sync.RWMutex
	targets map[clementineport.TargetID]pooled
}

type pooled struct {
	address     string
	connections int
	target      clementineport.Target
}

// NewPool returns a Pool that may call no target yet.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, targets: make(map[clementineport.TargetID]pooled)}
}

// Target implements Targets.
func (p *Pool) Target(id clementineport.TargetID) (clementineport.Target, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	known, ok := p.targets[id]
	if !ok {
		return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM does not serve target %s", id)
	}
	return known.target, nil
}

// Update takes in a table; share returns how many connections this VM may open to a target, or zero.
func (p *Pool) Update(table *clementineport.Table, share func(clementineport.TargetIndex) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range table.Targets {
		p.update(&table.Targets[i], share(clementineport.TargetIndex(i)))
	}
	for id := range p.targets {
		if _, ok := table.ByID[id]; !ok {
			p.remove(id)
		}
	}
}

func (p *Pool) update(row *clementineport.TargetRow, connections int) {
	known, ok := p.targets[row.ID]
	if ok && (connections == 0 || known.address != row.Address) {
		p.remove(row.ID)
		ok = false
	}
	switch {
	case connections == 0:
	case !ok:
		p.targets[row.ID] = pooled{row.Address, connections, p.dial(row, connections)}
	case known.connections != connections:
		if r, can := known.target.(resizer); can {
			r.Resize(connections)
		}
		known.connections = connections
		p.targets[row.ID] = known
	}
}

// remove closes idle connections; calls in progress end by themselves.
func (p *Pool) remove(id clementineport.TargetID) {
	_ = p.targets[id].target.Close()
	delete(p.targets, id)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.targets {
		p.remove(id)
	}
}
