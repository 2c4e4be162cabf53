package cpconn

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Pool bounds the connections to one target and counts those that went silent as open for a while.
type Pool struct {
	clock clementineport.Clock
	// closing and linger are how long a closed connection counts as open at the target, for ordinary
	// and for silent connections.
	closing time.Duration
	linger  time.Duration

	mu        sync.Mutex
	share     int
	open      int
	peak      int
	lingering []time.Time
	// suspect makes every connection that is closed meanwhile linger.
	suspect bool
}

// NewPool returns a pool without connections; closing and linger are how long a closed connection counts as open
// at the target, for ordinary and for silent connections.
func NewPool(clock clementineport.Clock, share int, closing, linger time.Duration) *Pool {
	return &Pool{clock: clock, share: share, closing: closing, linger: linger}
}

// Reserve counts a connection that is about to be opened, if the share has room.
func (p *Pool) Reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if p.open+len(p.lingering) >= p.share {
		return ErrShareExceeded
	}
	p.open++
	p.peak = max(p.peak, p.open+len(p.lingering))
	return nil
}

// Wait reserves a connection, if need be after others have expired.
func (p *Pool) Wait(ctx context.Context) error {
	end := p.clock.Now().Add(2 * p.closing)
	for {
		err := p.Reserve()
		if err == nil || p.clock.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(p.closing / 16):
		}
	}
}

func (p *Pool) expire() {
	now := p.clock.Now()
	p.lingering = slices.DeleteFunc(p.lingering, func(at time.Time) bool { return !at.After(now) })
}

// release counts a closed connection as open until the target is sure to have noticed.
func (p *Pool) release(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	d := p.closing
	if silent || p.suspect {
		d = p.linger
	}
	p.lingering = append(p.lingering, p.clock.Now().Add(d))
}

// Cancel gives back a reservation that was not used.
func (p *Pool) Cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// hold counts one more closed connection as open for a while.
func (p *Pool) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lingering = append(p.lingering, p.clock.Now().Add(p.linger))
}

// LingerDuring runs f, which closes connections that may still be open at the target.
func (p *Pool) LingerDuring(f func()) {
	p.setSuspect(true)
	f()
	p.setSuspect(false)
}

func (p *Pool) setSuspect(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = on
}

// Resize sets the share and reports whether more connections are open.
func (p *Pool) Resize(share int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
	return p.open > share
}

// Open returns the connections that count as open and the most there have been.
func (p *Pool) Open() (n, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.open + len(p.lingering), p.peak
}
