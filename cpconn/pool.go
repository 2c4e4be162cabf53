package cpconn

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Pool limits the connections to one target. Closed connections count as open until the target is expected to have
// closed them too.
type Pool struct {
	clock clementineport.Clock
	// closeDelay and linger are how long an ordinary and a stalled connection count as open at the target after they
	// were closed.
	closeDelay time.Duration
	linger     time.Duration

	mu        sync.Mutex
	share     int
	open      int
	peak      int
	lingering []time.Time
	// lingerOnClose makes every connection that is closed while it is set count as stalled.
	lingerOnClose bool
}

// NewPool returns a pool without connections. closeDelay and linger are how long an ordinary and a stalled connection
// count as open at the target after they were closed.
func NewPool(clock clementineport.Clock, share int, closeDelay, linger time.Duration) *Pool {
	return &Pool{clock: clock, share: share, closeDelay: closeDelay, linger: linger}
}

// Reserve counts a connection that is about to be opened. It fails if the share is used up.
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

// Wait reserves a connection. If the share is used up, it waits for up to twice the close delay until closed
// connections no longer count.
func (p *Pool) Wait(ctx context.Context) error {
	end := p.clock.Now().Add(2 * p.closeDelay)
	for {
		err := p.Reserve()
		if err == nil || p.clock.Now().After(end) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.clock.After(p.closeDelay / 16):
		}
	}
}

func (p *Pool) expire() {
	now := p.clock.Now()
	p.lingering = slices.DeleteFunc(p.lingering, func(at time.Time) bool { return !at.After(now) })
}

// release records that a connection was closed. It counts as open until the target is sure to have noticed.
func (p *Pool) release(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	d := p.closeDelay
	if stalled || p.lingerOnClose {
		d = p.linger
	}
	p.lingering = append(p.lingering, p.clock.Now().Add(d))
}

// Cancel returns a reservation that was not used.
func (p *Pool) Cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// addLingering counts one more closed connection as open for the linger time.
func (p *Pool) addLingering() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lingering = append(p.lingering, p.clock.Now().Add(p.linger))
}

// LingerDuring runs f. Connections that are closed meanwhile may be stalled and count as such.
func (p *Pool) LingerDuring(f func()) {
	p.setLingerOnClose(true)
	f()
	p.setLingerOnClose(false)
}

func (p *Pool) setLingerOnClose(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lingerOnClose = on
}

// Resize sets the share and reports whether more connections than that are open.
func (p *Pool) Resize(share int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
	return p.open > share
}

// Open returns the number of connections that count as open, and its peak.
func (p *Pool) Open() (n, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.open + len(p.lingering), p.peak
}
