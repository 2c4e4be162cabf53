// Package cphttp implements clementineport.Target over HTTP. It determines whether a failed call may have run, detects
// stalled connections and limits the number of open connections. It never sends a call twice, and it handles no
// replicas, limits or hedges.
package cphttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mailru/easyjson"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconn"
)

// maxHeaderBytes limits the size of a response header.
const maxHeaderBytes = 64 << 10

// Client is a target that is reached over HTTP.
type Client struct {
	opts      Options
	url       string
	pool      *cpconn.Pool
	transport *http.Transport
	// lastResponse is when the target last completed a response, in nanoseconds since the Unix epoch.
	lastResponse atomic.Int64
	// meanResponseTime is the moving average of the response time, in nanoseconds.
	meanResponseTime atomic.Int64
	// unanswered is the number of consecutive calls that ended without a byte of a response.
	unanswered  atomic.Int32
	generations *cpconn.Generations
	// spare passes a connection that was opened in advance to the next dial.
	spare        chan *cpconn.Conn
	openingSpare atomic.Bool
	// epoch is the number of times that idle connections were closed as possibly stalled.
	epoch atomic.Uint64
	// healthTransport opens a new connection for each request.
	healthTransport *http.Transport
	checkingHealth  atomic.Bool

	mu         sync.Mutex
	waiting    map[*exchange]struct{}
	monitoring bool
}

// New returns a client. It opens no connection before the first call.
func New(opts ...Option) *Client {
	o := NewOptions(opts...)
	c := &Client{
		opts:        o,
		url:         "http://" + o.Address,
		pool:        cpconn.NewPool(o.Clock, o.Connections, o.CloseDelay, o.Linger),
		spare:       make(chan *cpconn.Conn),
		waiting:     map[*exchange]struct{}{},
		generations: cpconn.NewGenerations(!o.Probe),
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    o.Connections,
		MaxConnsPerHost:        o.Concurrency,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		ForceAttemptHTTP2:      false,
	}
	c.healthTransport = &http.Transport{DialContext: c.dialSingleUse, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	if o.HTTP2 {
		c.transport.Protocols = &http.Protocols{}
		c.transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return c
}

// Resize sets the maximum number of open connections. If more are open, the idle ones are closed.
func (c *Client) Resize(connections int) {
	if c.pool.Resize(connections) {
		c.transport.CloseIdleConnections()
	}
}

// Open returns the number of connections that count as open, and its peak.
func (c *Client) Open() (n, peak int) { return c.pool.Open() }

// Close closes the idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Search implements clementineport.Target. A refusal by the target comes with a reply that carries its signals.
func (c *Client) Search(ctx context.Context, call *clementineport.Call) (*clementineport.Reply, error) {
	left := call.Deadline.Sub(c.opts.Clock.Now())
	if left <= 0 {
		return nil, clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	body, err := easyjson.Marshal(newSearchRequest(call, left))
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInvalid, Err: err}
	}
	ctx, cancel := withTimeLeft(ctx, left)
	defer cancel()
	e := &exchange{client: c, nonIdempotent: !call.Idempotent}
	r, err := e.request(ctx, c.url+PathSearch, body)
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInvalid, Err: err}
	}
	c.opts.Header(ctx, r.Header)
	c.begin(e)
	status, data, err := e.roundTrip(r)
	c.end(e, err)
	if err != nil {
		if ctx.Err() != nil && e.conn != nil && !c.opts.HTTP2 {
			c.openSpare()
		}
		return nil, e.fail(ctx, err)
	}
	if status == http.StatusOK {
		return decodeReply(call, data)
	}
	return decodeRefusal(call, status, data)
}

// withTimeLeft returns a context that ends when no time is left. It returns ctx itself if that ends by then.
func withTimeLeft(ctx context.Context, left time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= left {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, left)
}

// Status implements clementineport.Target.
func (c *Client) Status(ctx context.Context) (clementineport.Signals, error) {
	var s clementineport.Signals
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+PathHealth, http.NoBody)
	if err != nil {
		return s, &clementineport.Error{Fault: clementineport.FaultInvalid, Err: err}
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return s, &clementineport.Error{Fault: clementineport.FaultUnavailable, Err: err}
	}
	defer resp.Body.Close()
	if !clementineport.ValidStatus(resp.StatusCode) {
		return s, clementineport.Fail(clementineport.FaultMalformed, "health response with status %03d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, c.opts.MaxResponseBytes)).Decode(&s)
	if err != nil {
		return s, &clementineport.Error{Fault: clementineport.FaultMalformed, Err: err}
	}
	return s, nil
}

// exchange is one call and the connection that it uses.
type exchange struct {
	client *Client
	sent   time.Time
	// nonIdempotent is true for a call that must not be resent, so that ending it early has no benefit.
	nonIdempotent bool

	mu   sync.Mutex
	conn *cpconn.Conn
	// offeredBefore and receivedBefore are the numbers of bytes written to and read from the connection before the call.
	offeredBefore  int64
	receivedBefore int64
}

// nonRewindable hides the type of the body, so that net/http cannot rewind it and resend the request.
type nonRewindable struct{ r *bytes.Reader }

// Read implements io.Reader.
func (s nonRewindable) Read(b []byte) (int, error) { return s.r.Read(b) }

func (e *exchange) request(ctx context.Context, url string, body []byte) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nonRewindable{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*cpconn.Conn)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.offeredBefore, e.receivedBefore = cn, cn.Offered(), cn.Received()
	e.sent = e.client.opts.Clock.Now()
}

var errOversized = errors.New("response is larger than allowed")

func (e *exchange) roundTrip(r *http.Request) (int, []byte, error) {
	resp, err := e.client.transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	limit := e.client.opts.MaxResponseBytes
	if resp.ContentLength > limit {
		return 0, nil, errOversized
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return 0, nil, bodyError{err}
	}
	if int64(len(data)) > limit {
		return 0, nil, errOversized
	}
	return resp.StatusCode, data, nil
}
