// Package cphttp implements the target port over HTTP. It decides what a failed call proves about the
// request, which connections are silent, and how many connections may be open. It never sends a call
// twice and knows nothing of replicas, limits or hedges.
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

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

// Client is a target that is reached over HTTP.
type Client struct {
	opts      Options
	url       string
	pool      *cpconn.Pool
	transport *http.Transport
	// answered is the time of the last byte of any answer in nanoseconds since the epoch.
	answered atomic.Int64
	// typical is the moving average of the time of an answer in nanoseconds.
	typical atomic.Int64
	// streak counts the calls in a row that ended without a byte of answer.
	streak      atomic.Int32
	generations *cpconn.Generations
	// spare hands over a connection that was opened ahead of need.
	spare     chan *cpconn.Conn
	refilling atomic.Bool
	// epoch counts the times that unused connections were closed as possibly silent.
	epoch atomic.Uint64
	// knocker makes a connection for each request.
	knocker  *http.Transport
	knocking atomic.Bool

	mu       sync.Mutex
	waiting  map[*exchange]struct{}
	watching bool
}

// New returns a client; it opens no connection until the first call.
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
	c.knocker = &http.Transport{DialContext: c.dialOnce, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	if o.HTTP2 {
		c.transport.Protocols = &http.Protocols{}
		c.transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return c
}

// Resize sets the most connections that may be open; idle connections above it are closed.
func (c *Client) Resize(connections int) {
	if c.pool.Resize(connections) {
		c.transport.CloseIdleConnections()
	}
}

// Open returns the connections that count as open and the most there have been.
func (c *Client) Open() (n, peak int) { return c.pool.Open() }

// Close closes the idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Search implements clementineport.Target. A refusal by the target comes with a reply that holds its signals.
func (c *Client) Search(ctx context.Context, call *clementineport.Call) (*clementineport.Reply, error) {
	left := call.Deadline.Sub(c.opts.Clock.Now())
	if left <= 0 {
		return nil, clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	body, err := easyjson.Marshal(newSearchRequest(call, left))
	if err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultInvalid, Err: err}
	}
	ctx, cancel := limit(ctx, left)
	defer cancel()
	e := &exchange{client: c, keep: !call.Idempotent}
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
			c.refill()
		}
		return nil, e.fail(ctx, err)
	}
	if status == http.StatusOK {
		return decodeReply(call, data)
	}
	return decodeRefusal(call, status, data)
}

// limit returns a context that ends when no time is left; the one of the caller serves if it ends by then.
func limit(ctx context.Context, left time.Duration) (context.Context, context.CancelFunc) {
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
	err = json.NewDecoder(io.LimitReader(resp.Body, c.opts.MaxResponseBytes)).Decode(&s)
	if err != nil {
		return s, &clementineport.Error{Fault: clementineport.FaultMalformed, Err: err}
	}
	return s, nil
}

// exchange is one call on the wire.
type exchange struct {
	client *Client
	sent   time.Time
	// keep is true for a call that cannot be sent again, so that ending it early gains nothing.
	keep bool

	mu   sync.Mutex
	conn *cpconn.Conn
	// mark and received are the bytes written to and read from the connection before this call.
	mark     int64
	received int64
}

// singleUse hides the type of the body, so that net/http cannot rewind it and send it again.
type singleUse struct{ r *bytes.Reader }

// Read implements io.Reader.
func (s singleUse) Read(b []byte) (int, error) { return s.r.Read(b) }

func (e *exchange) request(ctx context.Context, url string, body []byte) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleUse{bytes.NewReader(body)})
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
	e.conn, e.mark, e.received = cn, cn.Offered(), cn.Received()
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
		return 0, nil, cutError{err}
	}
	if int64(len(data)) > limit {
		return 0, nil, errOversized
	}
	return resp.StatusCode, data, nil
}
