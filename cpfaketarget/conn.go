package cpfaketarget

import (
	"net"
	"sync"
	"time"
)

// listener counts connections and adds the connection cost to each.
type listener struct {
	net.Listener
	target *Target
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, target: l.target, readableAt: time.Now().Add(l.target.model.opts.ConnectionCost)}
	l.target.addConn(c)
	return c, nil
}

// conn is a connection that can become silent, as if the network dropped all its packets: it discards what the
// target writes, delivers nothing that the client sends, and does not report that the client has closed it.
type conn struct {
	net.Conn
	target     *Target
	readableAt time.Time

	mu     sync.Mutex
	silent bool
	once   sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.target.opts.Clock.After(c.target.opts.SilentTimeout)
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.target.removeConn(c) })
	return c.Conn.Close()
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) goSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}
