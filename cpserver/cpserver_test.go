package cpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpserver"
)

func TestServeAnswersTheRequestInProgress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { done <- cpserver.Serve(ctx, srv, ln, time.Minute) }()
	resp, err := http.Get("http://" + ln.Addr().String())
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	assert.NilError(t, <-done)
}

func TestServeReportsABrokenListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	assert.ErrorIs(t, cpserver.Serve(t.Context(), &http.Server{}, ln, time.Second), net.ErrClosed)
}
