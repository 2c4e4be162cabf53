// Package cpclientlimit bounds the memory and the connections that the clients of a process hold at once, over all its
// listeners. When the room is used up, it closes the connection whose client has fallen behind most. A connection with a complete
// request in progress is never closed, nor is one whose request arrives steadily.
package cpclientlimit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Limiter is the limit of one process. It is safe for concurrent use.
type Limiter struct {
	options Options

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// used is the number of bytes held. leaving is the part of them that belongs to connections that are being closed.
	used, leaving int64
	// waiters are the requests that wait for bytes, the oldest first.
	waiters []*waiter
	// searchAfter is the time before which no connection has fallen behind far enough to be closed.
	searchAfter time.Time
	stats       Stats
}

// Stats describes a Limiter.
type Stats struct {
	// Bytes is the number of bytes held by requests, and MaxBytes their limit.
	Bytes, MaxBytes int64
	// Connections counts the open connections of each listener.
	Connections map[string]int
	// ClosedForBytes and ClosedForConnections count the connections that were closed to make room for others.
	ClosedForBytes, ClosedForConnections uint64
	// Refused counts the requests that found no room.
	Refused uint64
}

// New returns a Limiter.
func New(opts ...Option) *Limiter {
	return &Limiter{
		options: NewOptions(opts...), conns: map[*Conn]struct{}{}, stats: Stats{Connections: map[string]int{}},
	}
}

// Stats returns the current statistics.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Bytes, s.MaxBytes = l.used, l.options.MaxBytes
	s.Connections = maps.Clone(s.Connections)
	return s
}

// holding is the number of bytes that a request holds. The mutex of its limiter guards it.
type holding struct {
	bytes int64
	// leaving is the part of bytes that the limiter counts as leaving.
	leaving int64
	// since is the time at which the request began.
	since time.Time
	// ended is true once the request has ended. What a call to a target still reads for it then is not added.
	ended bool
}

// waiter is a request that waits for bytes.
type waiter struct {
	holding *holding
	bytes   int64
	granted chan struct{}
}

// grow adds bytes to a holding. While they are not free, it closes connections that have fallen behind, or waits. Its error
// is a *clementineport.Error whose verdict is that the request has not run.
func (l *Limiter) grow(h *holding, bytes int64) error {
	l.mu.Lock()
	if h.ended || len(l.waiters) == 0 && l.used+bytes <= l.limit(h, bytes) {
		l.add(h, bytes)
		l.mu.Unlock()
		return nil
	}
	w := &waiter{holding: h, bytes: bytes, granted: make(chan struct{})}
	l.enqueue(w)
	retry := l.grant()
	l.mu.Unlock()
	timeout := l.options.Clock.After(l.options.MaxWait)
	for {
		select {
		case <-w.granted:
			return nil
		case <-timeout:
			if l.abandon(w) {
				return clementineport.Fail(clementineport.FaultUnavailable, "the requests of all callers hold too much memory")
			}
			return nil
		case <-l.options.Clock.After(retry):
			l.mu.Lock()
			retry = l.grant()
			l.mu.Unlock()
		}
	}
}

// limit returns the limit of the used bytes up to which a holding may grow. The last part is kept for small requests.
func (l *Limiter) limit(h *holding, bytes int64) int64 {
	if h.bytes+bytes <= smallBytes {
		return l.options.MaxBytes
	}
	return int64(float64(l.options.MaxBytes) * (1 - smallShare))
}

// add adds bytes to a holding whose request has not ended. The caller holds l.mu.
func (l *Limiter) add(h *holding, bytes int64) {
	if h.ended {
		return
	}
	h.bytes += bytes
	l.used += bytes
}

// enqueue adds a waiter behind those whose requests are older.
func (l *Limiter) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(l.waiters, w, func(a, b *waiter) int {
		return a.holding.since.Compare(b.holding.since)
	})
	l.waiters = slices.Insert(l.waiters, i, w)
}

// abandon removes a waiter and reports whether it was still waiting.
func (l *Limiter) abandon(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	l.stats.Refused++
	l.grant()
	return true
}

// grant gives bytes to the waiters, the oldest first, and returns the time after which to try again. Small requests don't wait for
// large ones. The caller holds l.mu.
func (l *Limiter) grant() (retry time.Duration) {
	retry = l.options.MinStall
	blocked := int64(-1) // the lowest limit at which a waiter had to go on waiting
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		limit := l.limit(w.holding, w.bytes)
		if blocked >= 0 && limit <= blocked {
			return false
		}
		if !w.holding.ended && l.used+w.bytes > limit {
			retry = min(retry, l.closeFor(w.bytes, limit))
			blocked = limit
			return false
		}
		l.add(w.holding, w.bytes)
		close(w.granted)
		return true
	})
	return retry
}

// closeFor closes connections that have fallen behind until bytes are free or becoming free. It returns the time after which to
// try again if there are too few of them. The caller holds l.mu.
func (l *Limiter) closeFor(bytes, limit int64) (retry time.Duration) {
	now := l.options.Clock.Now()
	for l.used-l.leaving+bytes > limit {
		if now.Before(l.searchAfter) {
			return l.searchAfter.Sub(now)
		}
		victim, wait := l.victim(now, false, (*Conn).holds)
		if victim == nil {
			l.searchAfter = now.Add(wait)
			return wait
		}
		if !victim.c.evict(victim.phase) {
			continue // it has just made progress
		}
		l.stats.ClosedForBytes++
		request := victim.c.request
		l.leaving += request.bytes - request.leaving
		request.leaving = request.bytes
	}
	return l.options.MinStall
}

// shrink takes bytes from a holding.
func (l *Limiter) shrink(h *holding, bytes int64) {
	if bytes == 0 {
		return
	}
	h.bytes -= bytes
	l.used -= bytes
	left := min(h.leaving, h.bytes)
	l.leaving -= h.leaving - left
	h.leaving = left
	if len(l.waiters) > 0 {
		l.grant()
	}
}

// open adds a connection if its listener may have another one, and closes one that has fallen behind otherwise. It returns zero if
// the connection was added, and the time after which to try again if it was not.
func (l *Limiter) open(c *Conn) (retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := c.listener
	if ln.maxConns > 0 && l.stats.Connections[ln.name] >= ln.maxConns {
		now := l.options.Clock.Now()
		spareIdle := c.behind(now) < l.options.MinStall // the new connection has not waited for long
		victim, wait := l.victim(now, spareIdle, func(other *Conn, _ phase) bool { return other.listener == ln })
		if victim == nil {
			return wait
		}
		if !victim.c.abort(victim.phase) {
			return minPause // it has just made progress
		}
		l.stats.ClosedForConnections++
		l.remove(victim.c)
	}
	l.conns[c] = struct{}{}
	l.stats.Connections[ln.name]++
	return 0
}

// remove removes a connection that is closed. A request in progress on it keeps its bytes until it ends. The caller holds l.mu.
func (l *Limiter) remove(c *Conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.stats.Connections[c.listener.name]--
	if !c.serving {
		l.finish(c.request)
	}
}

// finish takes all bytes from a holding, whose request has ended. The caller holds l.mu.
func (l *Limiter) finish(h *holding) {
	h.ended = true
	l.shrink(h, h.bytes)
}

// begin records that the head of a request begins to arrive on a connection.
func (l *Limiter) begin(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.request.since = l.options.Clock.Now()
}

// serve records that the handler of a request begins, whose head takes a number of bytes now that it is parsed.
func (l *Limiter) serve(c *Conn, head int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.serving = true
	if c.request.since.IsZero() || c.request.bytes == 0 {
		c.request.since = l.options.Clock.Now() // the whole head came with an earlier request
	}
	if more := head - c.request.bytes; more > 0 {
		l.add(c.request, more)
		return
	}
	l.shrink(c.request, c.request.bytes-head)
}

// answered records that the handler of a request has ended. The server still holds the request while it reads the rest of it.
func (l *Limiter) answered(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.serving = false
	c.request.ended = true
	if _, open := l.conns[c]; !open {
		l.finish(c.request)
	}
}

// end records that a request has ended.
func (l *Limiter) end(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finish(c.request)
	c.request = &holding{since: l.options.Clock.Now()}
}

// holding returns what the current request of a connection holds.
func (l *Limiter) holding(c *Conn) *holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.request
}
