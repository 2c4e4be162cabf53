package cproute

import (
	"sync"

	"github.com/clementineport/clementineport"
)

// RoundRobin distributes requests over services in proportion to their weights, without runs of one service
// (smooth weighted round robin).
type RoundRobin struct {
	services []clementineport.WeightedService

	mu     sync.Mutex
	credit []float64
}

// NewRoundRobin returns the turns of some services.
func NewRoundRobin(services []clementineport.WeightedService) *RoundRobin {
	return &RoundRobin{services: services, credit: make([]float64, len(services))}
}

// Next returns the service whose turn it is.
func (t *RoundRobin) Next() clementineport.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, best := 0.0, 0
	for i, s := range t.services {
		t.credit[i] += s.Weight
		total += s.Weight
		if t.credit[i] > t.credit[best] {
			best = i
		}
	}
	t.credit[best] -= total
	return t.services[best].Service
}
