package cphttp

import (
	"context"
	"net"

	"github.com/clementineport/clementineport/cpconn"
)

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case cn := <-c.spare:
		if cn.Epoch() == c.epoch.Load() {
			return cn, nil
		}
		cn.MarkStalled()
		_ = cn.Close()
	default:
	}
	cn, err := c.dialReserved(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return cn, nil
}

// dialSingleUse opens a connection for a single request, after which the target closes it.
func (c *Client) dialSingleUse(ctx context.Context, network, address string) (net.Conn, error) {
	cn, err := c.dialReserved(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cn.SetSingleUse()
	return cn, nil
}

// dialReserved reserves a connection within the share and opens it.
func (c *Client) dialReserved(ctx context.Context, network, address string) (*cpconn.Conn, error) {
	if err := c.pool.Wait(ctx); err != nil {
		return nil, err
	}
	return c.open(ctx, network, address)
}

// open opens a connection that was reserved, and cancels the reservation if that fails.
func (c *Client) open(ctx context.Context, network, address string) (*cpconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	generation, epoch := c.generations.Current(), c.epoch.Load()
	raw, err := c.opts.Dial(ctx, network, address)
	if err != nil {
		c.pool.Cancel()
		return nil, err
	}
	hooks := cpconn.Hooks{MaySend: c.opts.MaySend, OnTargetClose: c.opts.OnTargetClose}
	return cpconn.New(raw, c.pool, c.generations, generation, epoch, hooks), nil
}

// openSpare opens a connection in advance, to replace one that was closed by a canceled call. The connection is closed
// if no call uses it within the spare timeout.
func (c *Client) openSpare() {
	if c.opts.SpareTimeout <= 0 || !c.openingSpare.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.openingSpare.Store(false)
		if c.pool.Reserve() != nil {
			return
		}
		cn, err := c.open(context.Background(), "tcp", c.opts.Address)
		if err != nil {
			return
		}
		select {
		case c.spare <- cn:
		case <-c.opts.Clock.After(c.opts.SpareTimeout):
			_ = cn.Close()
		}
	}()
}
