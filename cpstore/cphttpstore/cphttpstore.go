// Package cphttpstore is the HTTP client of the platform's store and its list of VMs.
// It determines whether a failed call may have run, and never retries a write that may have taken effect.
package cphttpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

const (
	versionHeader = "Store-Version"
	keysPath      = "/v1/keys/"
	leasesPath    = "/v1/leases/"
	listPath      = "/v1/vms"
)

// Client implements clementineport.Store and clementineport.Directory over HTTP.
type Client struct {
	opts Options
	http *http.Client
	// preferred is the index of the address that responded last; it is tried first.
	preferred atomic.Int32
}

var (
	_ clementineport.Store     = (*Client)(nil)
	_ clementineport.Directory = (*Client)(nil)
)

// New returns a client of the store.
func New(opts ...Option) *Client {
	o := newOptions(opts)
	return &Client{opts: o, http: &http.Client{Transport: newTransport(&o)}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Get implements clementineport.Store.
func (c *Client) Get(ctx context.Context, key string) (clementineport.Item, error) {
	resp, err := c.read(ctx, keysPath+url.PathEscape(key), c.opts.Timeout)
	if err != nil {
		return clementineport.Item{}, err
	}
	return resp.item()
}

// Watch implements clementineport.Store.
func (c *Client) Watch(ctx context.Context, key string, seen uint64, wait time.Duration) (clementineport.Item, error) {
	query := url.Values{"seen": {strconv.FormatUint(seen, 10)}, "wait": {wait.String()}}
	resp, err := c.read(ctx, keysPath+url.PathEscape(key)+"?"+query.Encode(), wait+c.opts.Timeout)
	if err != nil {
		return clementineport.Item{}, err
	}
	return resp.item()
}

// CompareAndSwap implements clementineport.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	path := keysPath + url.PathEscape(key) + "?expected=" + strconv.FormatUint(expected, 10)
	resp, err := c.write(ctx, http.MethodPut, path, value)
	if err != nil {
		return 0, err
	}
	var body struct{ Version uint64 }
	if err := resp.decode(&body); err != nil {
		return 0, err
	}
	if body.Version == 0 {
		return 0, clementineport.Fail(clementineport.FaultMalformed, "the response has no version")
	}
	return body.Version, nil
}

// Acquire implements clementineport.Store.
func (c *Client) Acquire(ctx context.Context, key, holder string, ttl time.Duration) (clementineport.Lease, error) {
	var lease clementineport.Lease
	body, err := json.Marshal(struct{ Holder, TTL string }{holder, ttl.String()})
	if err != nil {
		return lease, clementineport.Fail(clementineport.FaultInvalid, "%v", err)
	}
	resp, err := c.write(ctx, http.MethodPost, leasesPath+url.PathEscape(key), body)
	if err != nil {
		return lease, err
	}
	if err := resp.decode(&lease); err != nil {
		return clementineport.Lease{}, err
	}
	return lease, nil
}

// List implements clementineport.Directory.
func (c *Client) List(ctx context.Context) ([]clementineport.VM, error) {
	resp, err := c.read(ctx, listPath, c.opts.Timeout)
	if err != nil {
		return nil, err
	}
	var vms []clementineport.VM
	if err := resp.decode(&vms); err != nil {
		return nil, err
	}
	return vms, nil
}

// read tries each address until the store responds. Reads have no effect, so they can always be retried.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration) (*response, error) {
	return c.tryAddresses(func(address string) (*response, error) {
		return c.call(ctx, http.MethodGet, address, path, nil, timeout)
	}, func(err error) bool {
		return ctx.Err() == nil && !fromStore(err)
	})
}

// write tries the next address only if the write is known not to have run.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (*response, error) {
	return c.tryAddresses(func(address string) (*response, error) {
		return c.call(ctx, method, address, path, body, c.opts.Timeout)
	}, func(err error) bool {
		return ctx.Err() == nil && !fromStore(err) && clementineport.VerdictOf(err) == clementineport.NotRun
	})
}

// fromStore reports whether an error was returned by the store itself, so that a retry at another address would fail
// in the same way.
func fromStore(err error) bool {
	switch clementineport.FaultOf(err) {
	case clementineport.FaultConflict, clementineport.FaultInvalid, clementineport.FaultShed:
		return true
	default:
		return false
	}
}

func (c *Client) tryAddresses(call func(address string) (*response, error), retryable func(error) bool) (*response, error) {
	n := len(c.opts.Addresses)
	if n == 0 {
		return nil, clementineport.Fail(clementineport.FaultUnavailable, "no address of the store is known")
	}
	first := int(c.preferred.Load())
	var err error
	for i := range n {
		index := (first + i) % n
		var resp *response
		if resp, err = call(c.opts.Addresses[index]); err == nil {
			c.preferred.Store(int32(index))
			return resp, nil
		}
		if !retryable(err) {
			return nil, err
		}
	}
	return nil, err
}

// response is a response of the store that was received in full.
type response struct {
	header http.Header
	body   []byte
}

func (r *response) item() (clementineport.Item, error) {
	version, err := strconv.ParseUint(r.header.Get(versionHeader), 10, 64)
	if err != nil {
		return clementineport.Item{}, clementineport.Fail(clementineport.FaultMalformed, "the response has no version")
	}
	return clementineport.Item{Value: r.body, Version: version}, nil
}

func (r *response) decode(body any) error {
	if err := json.Unmarshal(r.body, body); err != nil {
		return &clementineport.Error{Fault: clementineport.FaultMalformed, Reason: "decode the response", Err: err}
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, address, path string, body []byte, timeout time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	trace := new(requestTrace)
	req, err := http.NewRequestWithContext(trace.context(ctx), method, "http://"+address+path, nil)
	if err != nil {
		return nil, clementineport.Fail(clementineport.FaultInvalid, "%v", err)
	}
	if body != nil {
		// Without GetBody the transport can't resend the write by itself.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.classify(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxResponseBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, trace.classify(ctx, err)
	case err != nil:
		return nil, &clementineport.Error{Fault: clementineport.FaultCut, Reason: "the response ended early", Err: err}
	case int64(len(data)) > c.opts.MaxResponseBytes:
		return nil, clementineport.Fail(clementineport.FaultOversized, "the response is larger than %d bytes", c.opts.MaxResponseBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, refusal(resp, data)
	}
	return &response{header: resp.Header, body: data}, nil
}
