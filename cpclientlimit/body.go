package cpclientlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
)

// firstBodyBytes is the size of the buffer for the beginning of a body.
const firstBodyBytes = 512

// ReadBody reads the body of a request, from a reader that may limit it, until a time, and takes room for it. The buffer grows
// with what arrives, whatever length the client has stated. The error is a *clementineport.Error if there was no room, and that of
// the reader otherwise. If ctx has ended already, ReadBody fails at once.
func ReadBody(ctx context.Context, r *http.Request, body io.Reader, until time.Time) ([]byte, error) {
	c := fromContext(r.Context())
	if c == nil {
		return readAll(clementineport.Unlimited{}, body, r.ContentLength)
	}
	if err := c.SetReadDeadline(until); err != nil {
		return nil, c.closedError(err)
	}
	if ctx.Err() != nil {
		_ = c.SetReadDeadline(past) // fails if the connection is closed
	}
	b, err := readAll(bodyAccount{c.account(), c}, body, r.ContentLength)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if ctx.Err() == nil {
			metrics.GetOrCreateCounter("clementineport_client_body_timeouts_total").Inc()
		}
		return nil, c.closedError(err)
	case err != nil:
		// What the server still reads before it answers is the rest of a refused request. Fails if the connection is closed.
		_ = c.SetReadDeadline(time.Now().Add(c.listener.limiter.options.RestTimeout))
		return nil, c.closedError(err)
	}
	c.setPhase(phaseRunning)
	// Without a deadline, the server can tell when the client disconnects. Fails if the connection is closed.
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// readAll reads all of a body of a length, which is negative if it is not known.
func readAll(account clementineport.MemoryAccount, body io.Reader, length int64) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			size := max(firstBodyBytes, 2*cap(b))
			if length >= 0 {
				size = min(size, int(length)+1) // the last byte makes the reader report the end
			}
			grown, err := grow(account, b, max(size, cap(b)+1))
			if err != nil {
				return nil, err
			}
			b = grown
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a buffer of a larger size with the contents of b, whose room is free again.
func grow(account clementineport.MemoryAccount, b []byte, size int) ([]byte, error) {
	if err := account.Grow(int64(size)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	account.Shrink(int64(cap(b)))
	return grown, nil
}
