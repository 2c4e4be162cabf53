package cpclientlimit

import (
	"context"

	"github.com/clementineport/clementineport"
)

// Account is what one request holds. It implements clementineport.MemoryAccount. Its methods are safe for concurrent use.
type Account struct {
	limiter *Limiter
	holding *holding
}

// NewAccount returns an empty account for a request that has no connection of its own.
func (l *Limiter) NewAccount() *Account {
	return &Account{limiter: l, holding: &holding{since: l.options.Clock.Now()}}
}

// Grow adds bytes to the account, unless its request has ended. Its error is a *clementineport.Error.
func (a *Account) Grow(bytes int64) error { return a.limiter.grow(a.holding, bytes) }

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
	a.limiter.finish(a.holding)
}

// account returns the account of the request in progress on a connection.
func (c *Conn) account() *Account {
	l := c.listener.limiter
	return &Account{limiter: l, holding: l.holding(c)}
}

// bodyAccount is the account of a request whose body arrives.
type bodyAccount struct {
	*Account
	c *Conn
}

// Grow implements clementineport.MemoryAccount.
func (a bodyAccount) Grow(bytes int64) error { return a.c.grow(bytes) }

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
