// Package cpopaque sends requests unchanged to one target and reads complete responses.
//
// It writes requests itself and parses responses with net/http, instead of using http.Transport, because that may
// resend a request and may mistake bytes that are left on a reused connection for the next response.
// It handles no shards, retries or hedges.
package cpopaque

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cptarget/cpopaqueconn"
)

// HeaderNames are the names of the headers of the target protocol.
type HeaderNames struct {
	// Request carries the ID of the request. Targets echo it in the response.
	Request string
	// TimeLeft carries the time left for the request, in milliseconds.
	TimeLeft string
	// Instance carries the ID of the process that must run the request.
	Instance string
	// NotRun is present in a response if the target did not run the request.
	NotRun string
	// Signature carries the signature of a response.
	Signature string
	// Leaving is true in a response if the target is shutting down.
	Leaving string
	// Limit carries the number of requests a second that the target takes from all VMs together.
	Limit string
}

// maxFramingFactor is the largest ratio of the bytes of a body with its framing to those without.
const maxFramingFactor = 2

// ordinaryHeadBytes is the size of most heads.
const ordinaryHeadBytes = 512

var (
	// errProtocol means that a target sent only 1xx responses.
	errProtocol = errors.New("no final response")
	// errStatus means that a target sent a status that no response has.
	errStatus = errors.New("status that no response has")
)

// maxInformational limits the number of 1xx responses before the final one.
const maxInformational = 4

// Client sends requests to one target over a limited number of connections.
type Client struct {
	options Options
	pool    *cpopaqueconn.Pool

	mu     sync.Mutex
	notice clementineport.TargetNotice
	limit  knownLimit
}

// New returns a client. It opens no connection before the first call.
func New(opts ...Option) *Client {
	options := NewOptions(opts...)
	c := &Client{options: options, notice: options.Notice}
	c.pool = cpopaqueconn.New(
		cpopaqueconn.WithClock(options.Clock), cpopaqueconn.WithAddress(options.Address), cpopaqueconn.WithConnections(options.Connections),
		cpopaqueconn.WithTimeouts(options.DialTimeout, options.IdleTimeout), cpopaqueconn.WithDial(options.Dial),
		cpopaqueconn.WithOnExtra(c.readExtraNotice), cpopaqueconn.WithOnConnect(options.OnConnect),
	)
	return c
}

// Close closes the idle connections now and the others when their calls end.
func (c *Client) Close() { c.pool.Close() }

// Resize sets the maximum number of open connections, and closes idle ones that have expired.
func (c *Client) Resize(connections int) { c.pool.Resize(connections) }

// Open returns the number of open connections and the total number opened so far.
func (c *Client) Open() (open int, opened uint64) { return c.pool.Size() }

// Connect implements clementineport.OpaqueTarget.
func (c *Client) Connect(ctx context.Context) error { return c.pool.Connect(ctx) }

// Refuses implements clementineport.OpaqueTarget.
func (c *Client) Refuses(ctx context.Context) bool { return c.pool.Refuses(ctx) }

// Do sends the request once and returns the complete response. Its error is a *clementineport.Error whose verdict says
// whether the request may have run. When ctx ends, the connection is closed immediately.
func (c *Client) Do(ctx context.Context, req *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	if err := c.closed(); err != nil {
		return nil, err
	}
	conn, err := c.pool.Get(ctx, req.ID)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	result, keep, err := c.exchange(conn, req)
	if !stop() {
		keep = 0
	}
	c.pool.Put(conn, keep)
	c.pool.Observe(conn, err)
	if err != nil && ctx.Err() != nil {
		return nil, canceled(ctx, conn)
	}
	return result, err
}

// canceled returns the error of a call whose context ended.
func canceled(ctx context.Context, conn *cpopaqueconn.Conn) error {
	if conn.Unsent() {
		return &clementineport.Error{Fault: clementineport.FaultUnsent, Reason: "canceled before it was sent", Err: ctx.Err()}
	}
	fault := clementineport.FaultCanceled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		fault = clementineport.FaultTimeout
	}
	return &clementineport.Error{Fault: fault, Err: context.Cause(ctx)}
}

// exchange writes the request and reads the response. keep is how long the connection may be kept idle; zero means
// that it must be closed.
func (c *Client) exchange(conn *cpopaqueconn.Conn, req *clementineport.OpaqueRequest) (_ *clementineport.OpaqueResponse, keep time.Duration, _ error) {
	left := req.Deadline.Sub(c.options.Clock.Now())
	if left < time.Millisecond {
		return nil, c.options.IdleTimeout, clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	if err := c.closed(); err != nil {
		return nil, c.options.IdleTimeout, err // the notice came while this call waited for its connection
	}
	written := conn.Send(c.encodeHead(req, left), req.Body)
	conn.LimitReads(c.options.MaxHeaderBytes)
	resp, err := readResponse(conn.Reader, req.Method)
	if err != nil {
		return nil, 0, conn.Fault(err)
	}
	c.readNotice(resp)
	conn.LimitReads(maxFramingFactor * c.options.MaxResponseBytes)
	body, err := c.readBody(resp, req.Memory)
	if err != nil {
		return nil, 0, conn.Fault(err)
	}
	result, err := c.checkResponse(resp, body, req, conn.Reused())
	if err == nil || clementineport.FaultOf(err) == clementineport.FaultShed {
		c.readNoLimit(resp.Header)
	}
	c.readExtraNotice(conn.Buffered())
	if !written() || resp.Close || conn.Reader.Buffered() > 0 {
		return result, 0, err
	}
	return result, c.idleTimeout(resp.Header), err
}

// encodeHead returns the bytes of the request without its body, in a buffer with room for a small one.
func (c *Client) encodeHead(req *clementineport.OpaqueRequest, left time.Duration) []byte {
	names := &c.options.HeaderNames
	var b bytes.Buffer
	b.Grow(ordinaryHeadBytes + min(len(req.Body), ordinaryHeadBytes))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = req.Header.WriteSubset(&b, c.options.dropped)
	b.WriteString(names.Request + ": " + string(req.ID) + "\r\n")
	b.WriteString(names.TimeLeft + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n")
	b.WriteString(names.Instance + ": " + string(c.options.Target) + "\r\n")
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the status line and the headers of the final response; it skips 1xx responses.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case clementineport.ValidStatus(resp.StatusCode):
			return resp, nil
		case !informational(resp.StatusCode):
			return nil, errStatus
		}
	}
	return nil, errProtocol
}

// informational reports whether a status is that of a response that another one follows on the connection.
func informational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// readBody reads the complete body, up to MaxResponseBytes. A large one counts in the memory of the request.
func (c *Client) readBody(resp *http.Response, memory clementineport.MemoryAccount) ([]byte, error) {
	limit := c.options.MaxResponseBytes
	if resp.ContentLength > limit {
		return nil, cpopaqueconn.ErrOversized
	}
	r := &budgetReader{Reader: io.LimitReader(resp.Body, limit+1), budget: c.options.ReadBudget, memory: memory, allowed: freeBytes}
	defer r.release()
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, cpopaqueconn.ErrOversized
	}
	return b, nil
}

// checkResponse checks that the response is a valid answer to the request. On a connection that has carried other requests, a
// response that names no request may be a late copy of an answer to one of them.
func (c *Client) checkResponse(resp *http.Response, body []byte, req *clementineport.OpaqueRequest, reused bool) (*clementineport.OpaqueResponse, error) {
	names := &c.options.HeaderNames
	switch echo := resp.Header.Get(names.Request); {
	case echo != "" && echo != string(req.ID):
		return nil, clementineport.Fail(clementineport.FaultMismatched, "response to another request")
	case echo == "" && reused:
		return nil, clementineport.Fail(clementineport.FaultMismatched, "response that names no request, on a connection that was used before")
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return nil, clementineport.Fail(clementineport.FaultMisdirected, "another process answers at %s", c.options.Address)
	}
	if resp.Header.Get(names.NotRun) != "" {
		return nil, clementineport.Fail(clementineport.FaultShed, "target answered %d and did not run the request", resp.StatusCode)
	}
	result := &clementineport.OpaqueResponse{
		Target: c.options.Target, Status: resp.StatusCode, Header: resp.Header, Body: body,
		Signature: resp.Header.Get(names.Signature),
	}
	if result.Success() && (!validSignature(result.Signature) || resp.Header.Get("Content-Encoding") != "") {
		return nil, clementineport.Fail(clementineport.FaultMalformed, "success without a valid signature or in another encoding")
	}
	if result.Success() && resp.Header.Get(names.Request) == "" && c.options.RequireEcho {
		return nil, clementineport.Fail(clementineport.FaultMismatched, "success that does not name the request")
	}
	return result, nil
}

// validSignature reports whether a signature is one word, so that it can stand in a list of them.
func validSignature(signature string) bool {
	return signature != "" && !strings.ContainsAny(signature, " \t,")
}

// idleTimeout returns how long the connection may be kept idle: the target's own timeout less a margin for the time
// that a request takes to arrive, and at most IdleTimeout.
func (c *Client) idleTimeout(h http.Header) time.Duration {
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
