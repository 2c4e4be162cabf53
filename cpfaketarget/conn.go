package cpfaketarget

import (
	"net"
	"sync"
	"time"
)

// listener counts connections and applies their cost.
type listener struct {
	net.Listener
	searcher *Target
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, searcher: l.searcher, ready: time.Now().Add(l.searcher.model.opts.ConnectionCost)}
	l.searcher.opened(c)
	return c, nil
}

// conn is a connection that can go silent: it then swallows what is written and delivers nothing,
// and the end of the stream does not arrive either.
type conn struct {
	net.Conn
	searcher *Target
	ready    time.Time

	mu     sync.Mutex
	silent bool
	once   sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
		time.Sleep(wait)
	}
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.searcher.opts.Clock.After(c.searcher.opts.SilentTimeout)
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
	c.once.Do(func() { c.searcher.closed(c) })
	return c.Conn.Close()
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}
