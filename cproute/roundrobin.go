package cproute

import (
	"sync"

	"github.com/clementineport/clementineport"
)

// RoundRobin distributes requests to services in proportion to their weights. It is a smooth weighted round robin: the
// requests of one service are spread evenly among the others. Its methods are safe for concurrent use.
type RoundRobin struct {
	services []clementineport.WeightedService

	mu     sync.Mutex
	credit []float64
}

// NewRoundRobin returns a round robin over services.
func NewRoundRobin(services []clementineport.WeightedService) *RoundRobin {
	return &RoundRobin{services: services, credit: make([]float64, len(services))}
}

// Next returns the service for the next request.
func (r *RoundRobin) Next() clementineport.ServiceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, best := 0.0, 0
	for i, s := range r.services {
		r.credit[i] += s.Weight
		total += s.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return r.services[best].Service
}
