package cpclientlimit

import (
	"context"

	"github.com/clementineport/clementineport"
)

// Account is what one request holds. It implements clementineport.MemoryAccount. Its methods are safe for concurrent use.
type Account struct {
	limiter *Limiter
	holding *holding
	// closed is true once the request has ended. The limiter's mutex guards it.
	closed bool
}

// NewAccount returns an empty account for a request that has no connection of its own.
func (l *Limiter) NewAccount() *Account {
	return &Account{limiter: l, holding: &holding{since: l.options.Clock.Now()}}
}

// Grow adds bytes to the account. What a call to a target reads after the request has ended doesn't count. Its error is a
// *clementineport.Error.
func (a *Account) Grow(bytes int64) error {
	a.limiter.mu.Lock()
	closed := a.closed
	a.limiter.mu.Unlock()
	if closed {
		return nil
	}
	return a.limiter.grow(a.holding, bytes)
}

// Shrink takes bytes from the account.
func (a *Account) Shrink(bytes int64) {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.shrink(a.holding, min(bytes, a.holding.bytes))
}

// Close takes all bytes from the account, whose request has ended.
func (a *Account) Close() {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.closed = true
	a.limiter.shrink(a.holding, a.holding.bytes)
}

// connAccount is the account of a request that has come on a connection. A call to a target may outlast its request; what it
// reads then doesn't count.
type connAccount struct {
	c      *Conn
	serial uint64
}

// account returns the account of the request in progress.
func (c *Conn) account() connAccount {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	return connAccount{c, c.serial}
}

// Grow implements clementineport.MemoryAccount.
func (a connAccount) Grow(bytes int64) error {
	l := a.c.listener.limiter
	l.mu.Lock()
	ended := a.serial != a.c.serial || !a.c.serving
	l.mu.Unlock()
	if ended {
		return nil
	}
	return a.c.grow(bytes)
}

// Shrink implements clementineport.MemoryAccount.
func (a connAccount) Shrink(bytes int64) {
	l := a.c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.serial == a.c.serial {
		l.shrink(&a.c.request, min(bytes, a.c.request.bytes))
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// fromContext returns the connection on which a request has come, or nil.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// AccountOf returns the account of a request with a context, or one without a limit if the request has not come through a Limiter.
func AccountOf(ctx context.Context) clementineport.MemoryAccount {
	if c := fromContext(ctx); c != nil {
		return c.account()
	}
	return clementineport.Unlimited{}
}
