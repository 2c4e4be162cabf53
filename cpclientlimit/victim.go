package cpclientlimit

import "time"

// kind orders the connections that may be closed to make room.
type kind int

const (
	// kindUnfinished are the connections whose request or answer is not finished.
	kindUnfinished kind = iota
	// kindIdle are those without a request.
	kindIdle
	numKinds
)

// maxBehind returns the kind of a connection in a phase, and how far its client must have fallen behind before it may be closed to
// make room for another connection. ok is false if it may not be closed.
func (l *Limiter) maxBehind(c *Conn, p phase) (k kind, d time.Duration, ok bool) {
	switch p {
	case phaseIdle:
		return kindIdle, l.options.MinIdle, true
	case phaseHead:
		return kindUnfinished, l.options.MinIdle, true
	case phaseBody, phaseWriting, phaseWaiting:
		return kindUnfinished, l.options.MinStall, true
	case phaseClosing:
		// The client has had this time to read the refusal.
		return kindUnfinished, l.options.MinIdle, !c.serving
	default:
		return 0, 0, false
	}
}

// holds reports whether closing a connection in a phase makes room for bytes that are not becoming free already. The caller holds
// the mutex of the limiter.
func (c *Conn) holds(p phase) bool {
	return c.request.bytes > 0 && p != phaseWaiting && p != phaseClosing
}

// candidate is a connection to close, with its phase.
type candidate struct {
	c     *Conn
	phase phase
	// overdue is by how much its client is further behind than it may be; it is negative while the connection may not be closed.
	overdue time.Duration
}

// victim returns the connection to close among those that match: the one with an unfinished request that is most overdue, or else
// the one that has been idle for longest. With spareIdle, that one is kept while an unfinished request has begun to fall behind.
// If there is none, victim returns nil and the time after which to look again. The caller holds l.mu.
func (l *Limiter) victim(now time.Time, spareIdle bool, match func(c *Conn, p phase) bool) (_ *candidate, retry time.Duration) {
	var found [numKinds]candidate
	var behind [numKinds]time.Duration // the most of each kind
	for c := range l.conns {
		p := c.phase()
		k, d, ok := l.maxBehind(c, p)
		if !ok || !match(c, p) {
			continue
		}
		b := c.behind(now)
		behind[k] = max(behind[k], b)
		if found[k].c == nil || b-d > found[k].overdue {
			found[k] = candidate{c, p, b - d}
		}
	}
	if spareIdle && behind[kindUnfinished] >= minPause {
		found[kindIdle].c = nil
	}
	retry = l.options.MinIdle
	for k := range found {
		switch f := &found[k]; {
		case f.c == nil:
		case f.overdue >= 0:
			return f, 0
		default:
			retry = min(retry, -f.overdue)
		}
	}
	return nil, max(minPause, retry)
}
