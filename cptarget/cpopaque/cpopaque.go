// Package cpopaque sends requests to one target unchanged and reads whole responses.
//
// It writes requests and reads responses itself, on top of net/http's reader, because net/http's own transport
// may send a request again and may take bytes that are left on a kept connection for the next response.
// It knows nothing of shards, retries or hedges.
package cpopaque

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
)

// HeaderNames are the headers of the protocol that targets speak.
type HeaderNames struct {
	// Request carries the request's id; targets repeat it in responses.
	Request string
	// TimeLeft carries the milliseconds that the target may take.
	TimeLeft string
	// Instance carries the id of the process that must run the request.
	Instance string
	// NotRun marks responses of targets that did not run the request.
	NotRun string
	// Signature carries the proof of a response.
	Signature string
}

// maxInformational bounds the interim responses before a final one.
const maxInformational = 4

// Client sends requests to one target over a bounded number of connections.
type Client struct {
	options Options
	pool    *pool
}

// New returns a client; it opens no connection until the first call.
func New(opts ...Option) *Client {
	options := NewOptions(opts...)
	return &Client{options: options, pool: newPool(&options)}
}

// Close closes the idle connections, and the others when their calls have ended.
func (c *Client) Close() { c.pool.close() }

// Resize sets the most connections that may be open.
func (c *Client) Resize(connections int) { c.pool.resize(connections) }

// Open returns the number of open connections and how many were opened in all.
func (c *Client) Open() (open int, opened uint64) { return c.pool.size() }

// Do sends the request once and returns the whole response. The error is an *Error whose verdict says whether
// the request may have run. When ctx ends, the connection is closed at once.
func (c *Client) Do(ctx context.Context, f *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	conn, err := c.pool.take(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.abort)
	part, keep, err := c.exchange(conn, f)
	if !stop() {
		keep = 0
	}
	c.pool.put(conn, keep)
	c.pool.observe(conn, err)
	if err != nil && ctx.Err() != nil {
		return nil, canceled(ctx, conn)
	}
	return part, err
}

// canceled returns the error of a call that ended with its context.
func canceled(ctx context.Context, conn *conn) error {
	if conn.unsent() {
		return &clementineport.Error{Fault: clementineport.FaultUnsent, Reason: "canceled before it was sent", Err: ctx.Err()}
	}
	fault := clementineport.FaultCanceled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		fault = clementineport.FaultTimeout
	}
	return &clementineport.Error{Fault: fault, Err: context.Cause(ctx)}
}

// exchange writes the request and reads the response; keep is how long the connection may be kept, or zero.
func (c *Client) exchange(conn *conn, f *clementineport.OpaqueRequest) (_ *clementineport.OpaqueResponse, keep time.Duration, _ error) {
	left := f.Deadline.Sub(c.options.Clock.Now())
	if left < time.Millisecond {
		return nil, c.options.IdleTimeout, clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	written := conn.send(c.request(f, left))
	resp, err := readResponse(conn.reader, f.Method)
	if err != nil {
		return nil, 0, conn.fault(err)
	}
	body, err := readBody(resp.Body, c.options.MaxResponseBytes)
	if err != nil {
		return nil, 0, conn.fault(err)
	}
	part, err := c.check(resp, body, f)
	if !written() || resp.Close || conn.reader.Buffered() > 0 {
		return part, 0, err
	}
	return part, c.keepTime(resp.Header), err
}

// request returns the bytes of the request.
func (c *Client) request(f *clementineport.OpaqueRequest, left time.Duration) []byte {
	names := &c.options.HeaderNames
	var b bytes.Buffer
	b.Grow(512 + len(f.Body))
	b.WriteString(f.Method + " " + f.URI + " HTTP/1.1\r\nHost: " + f.Host + "\r\n")
	// A bytes.Buffer takes every write.
	_ = f.Header.WriteSubset(&b, c.options.replaced)
	b.WriteString(names.Request + ": " + string(f.ID) + "\r\n")
	b.WriteString(names.TimeLeft + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n")
	b.WriteString(names.Instance + ": " + string(c.options.Target) + "\r\n")
	if len(f.Body) > 0 || (f.Method != http.MethodGet && f.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(f.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(f.Body)
	return b.Bytes()
}

// readResponse reads the head of the final response.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errProtocol
}

// readBody reads a bounded body whole.
func readBody(body io.ReadCloser, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, errOversized
	}
	return b, nil
}

// check decides whether the response is a whole answer to the request.
func (c *Client) check(resp *http.Response, body []byte, f *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	names := &c.options.HeaderNames
	if echo := resp.Header.Get(names.Request); echo != "" && echo != string(f.ID) {
		return nil, clementineport.Fail(clementineport.FaultMismatched, "response to another request")
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return nil, clementineport.Fail(clementineport.FaultMisdirected, "another process answers at %s", c.options.Address)
	}
	if resp.Header.Get(names.NotRun) != "" {
		return nil, clementineport.Fail(clementineport.FaultShed, "target answered %d and did not run the request", resp.StatusCode)
	}
	part := &clementineport.OpaqueResponse{
		Target: c.options.Target, Status: resp.StatusCode, Header: resp.Header, Body: body,
		Signature: resp.Header.Get(names.Signature),
	}
	if part.Success() && (part.Signature == "" || resp.Header.Get("Content-Encoding") != "") {
		return nil, clementineport.Fail(clementineport.FaultMalformed, "success without a signature or in another encoding")
	}
	if part.Success() && resp.Header.Get(names.Request) == "" && c.options.RequireEcho {
		return nil, clementineport.Fail(clementineport.FaultMismatched, "success that does not name the request")
	}
	return part, nil
}

// keepTime returns how long the target keeps the connection open, with a margin for the way there.
func (c *Client) keepTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(c.options.IdleTimeout, time.Duration(seconds)*time.Second-c.options.IdleMargin)
		}
	}
	return c.options.IdleTimeout
}

var (
	errOversized = errors.New("response is larger than allowed")
	errProtocol  = errors.New("response is not final")
)

// classify returns the fault of a failed exchange.
func classify(err error, received bool) clementineport.Fault {
	var netErr net.Error
	switch {
	case errors.Is(err, errOversized):
		return clementineport.FaultOversized
	case errors.Is(err, os.ErrDeadlineExceeded):
		return clementineport.FaultTimeout
	case errors.Is(err, io.ErrUnexpectedEOF) && received:
		return clementineport.FaultCut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return clementineport.FaultReset
	default:
		return clementineport.FaultMalformed
	}
}
