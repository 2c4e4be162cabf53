package cpadmit

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// waitingQuery is a query in the queue.
type waitingQuery struct {
	ticket    Ticket
	arrival   Arrival
	waitUntil time.Time
}

// classQueue holds the waiting queries of one class. It serves the services round-robin and, within a service, the query
// with the earliest deadline first.
type classQueue struct {
	services []clementineport.ServiceID
	next     int
	queues   map[clementineport.ServiceID][]waitingQuery
	length   int
	credit   float64
}

func newClassQueue() *classQueue {
	return &classQueue{queues: make(map[clementineport.ServiceID][]waitingQuery)}
}

// push inserts a query after those of its service with the same or an earlier deadline.
func (q *classQueue) push(w waitingQuery) {
	id := w.arrival.Service
	queue, known := q.queues[id]
	if !known {
		q.services = append(q.services, id)
	}
	at := len(queue)
	for at > 0 && queue[at-1].arrival.Deadline.After(w.arrival.Deadline) {
		at--
	}
	q.queues[id] = slices.Insert(queue, at, w)
	q.length++
}

// pop removes and returns the next query whose maximum wait has not passed. Expired queries stay until their timers
// remove them.
func (q *classQueue) pop(now time.Time) (waitingQuery, bool) {
	for range q.services {
		id := q.services[q.next]
		q.next = (q.next + 1) % len(q.services)
		for i, w := range q.queues[id] {
			if now.Before(w.waitUntil) {
				q.queues[id] = slices.Delete(q.queues[id], i, i+1)
				q.length--
				return w, true
			}
		}
	}
	return waitingQuery{}, false
}

// remove removes a query from the queue and reports whether it was there.
func (q *classQueue) remove(id clementineport.ServiceID, t Ticket) bool {
	i := slices.IndexFunc(q.queues[id], func(w waitingQuery) bool { return w.ticket == t })
	if i < 0 {
		return false
	}
	q.queues[id] = slices.Delete(q.queues[id], i, i+1)
	q.length--
	return true
}

// ahead returns the number of queries that start before a new one of the service in round-robin order.
func (q *classQueue) ahead(id clementineport.ServiceID) int {
	own := len(q.queues[id])
	n := own
	for other, queue := range q.queues {
		if other != id {
			n += min(len(queue), own+1)
		}
	}
	return n
}
