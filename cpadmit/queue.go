package cpadmit

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// waiting is a query that waits for its start.
type waiting struct {
	ticket  Ticket
	arrival Arrival
	until   time.Time
}

// classQueue holds the waiting queries of one class. Services take turns; within a service the query with
// the earliest deadline goes first.
type classQueue struct {
	order  []clementineport.ServiceID
	next   int
	queues map[clementineport.ServiceID][]waiting
	length int
	credit float64
}

func newClassQueue() *classQueue {
	return &classQueue{queues: make(map[clementineport.ServiceID][]waiting)}
}

// push inserts a query behind those of its service with the same or an earlier deadline.
func (q *classQueue) push(w waiting) {
	id := w.arrival.Service
	queue, known := q.queues[id]
	if !known {
		q.order = append(q.order, id)
	}
	at := len(queue)
	for at > 0 && queue[at-1].arrival.Deadline.After(w.arrival.Deadline) {
		at--
	}
	q.queues[id] = slices.Insert(queue, at, w)
	q.length++
}

// pop takes the next query whose wait has not run out; the others are left to their timers.
func (q *classQueue) pop(now time.Time) (waiting, bool) {
	for range q.order {
		id := q.order[q.next]
		q.next = (q.next + 1) % len(q.order)
		for i, w := range q.queues[id] {
			if now.Before(w.until) {
				q.queues[id] = slices.Delete(q.queues[id], i, i+1)
				q.length--
				return w, true
			}
		}
	}
	return waiting{}, false
}

// remove takes a query out of the queue.
func (q *classQueue) remove(id clementineport.ServiceID, t Ticket) bool {
	i := slices.IndexFunc(q.queues[id], func(w waiting) bool { return w.ticket == t })
	if i < 0 {
		return false
	}
	q.queues[id] = slices.Delete(q.queues[id], i, i+1)
	q.length--
	return true
}

// ahead returns how many queries start before a new one of the service, as the services take turns.
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
