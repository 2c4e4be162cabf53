package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and what came of it.
type attempt struct {
	id     string
	vm     *vm
	sentAt time.Time
	// read is when the answer was complete, or the connection ended.
	read   time.Time
	status int
	header http.Header
	body   string
	// err is the error of a connection that ended without a complete answer.
	err error
}

// client sends requests over connections of its own, each with an Attempt-Id of its own.
type client struct {
	record *record
	prefix string
	last   atomic.Int64
}

func (c *client) nextID() string { return fmt.Sprintf("%s%012x", c.prefix, c.last.Add(1)) }

// send sends one request on a new connection and reads its answer.
func (c *client) send(v *vm, method, path string, deadline time.Duration, header string) *attempt {
	a := &attempt{id: c.nextID(), vm: v}
	conn, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		a.sentAt, a.read, a.err = time.Now(), time.Now(), fmt.Errorf("connect: %w", err)
		c.record.line("client %s to %s: %v", a.id, v.name, a.err)
		return a
	}
	defer conn.Close()
	c.exchange(conn, bufio.NewReader(conn), a, method, path, deadline, header)
	return a
}

// exchange sends one request on a connection and reads its answer. Clients stay half a second longer than they say.
func (c *client) exchange(conn net.Conn, r *bufio.Reader, a *attempt, method, path string, deadline time.Duration, header string) {
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	a.sentAt = time.Now()
	c.record.line("client sends %s to %s: %s %s, deadline %v", a.id, a.vm.name, method, path, deadline)
	_ = conn.SetDeadline(a.sentAt.Add(deadline + 500*time.Millisecond))
	_, a.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s%s\r\n", method, path, host, a.id, deadline.Milliseconds(), header, length)
	if a.err == nil {
		var resp *http.Response
		if resp, a.err = http.ReadResponse(r, &http.Request{Method: method}); a.err == nil {
			var body []byte
			body, a.err = io.ReadAll(resp.Body)
			a.status, a.header, a.body = resp.StatusCode, resp.Header, string(body)
		}
	}
	a.read = time.Now()
	if a.err != nil {
		c.record.line("client %s from %s: no complete answer after %.3f s: %v", a.id, a.vm.name, a.read.Sub(a.sentAt).Seconds(), a.err)
		return
	}
	c.record.line("client %s from %s: %d after %.3f s, stamp %q: %.80q", a.id, a.vm.name, a.status, a.read.Sub(a.sentAt).Seconds(),
		a.header.Get("Server-Stamp"), a.body)
}

// host is the host of all routes.
const host = "leno12.example"
