package cppeer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cptoken"
)

// configHandler is a Handler that returns one configuration.
type configHandler struct {
	fakeHandler
	text []byte
}

// Config implements cppeer.Handler.
func (h *configHandler) Config(context.Context, clementineport.StorePosition) (*clementineport.Config, error) {
	return &clementineport.Config{Text: h.text}, nil
}

// manyRoutes returns the text of a configuration of n routes over 36 shards.
func manyRoutes(n int) []byte {
	var text bytes.Buffer
	for i := range n {
		fmt.Fprintf(&text, `{"Name":"route-%d","Host":"search.example","Prefix":"/album-%d/","Idempotent":true,"Shards":[`, i, i)
		for shard := range 36 {
			fmt.Fprintf(&text, `"gallery~%d",`, shard)
		}
		text.WriteString("]}")
	}
	return text.Bytes()
}

// TestAConfigurationOfManyRoutesIsASmallMessage guards against VMs with slow links that send a configuration to each of several
// others for most of the time in which it must be in force.
func TestAConfigurationOfManyRoutesIsASmallMessage(t *testing.T) {
	const (
		linkBytesPerSecond = 20e6 / 8
		followers          = 10
		seconds            = 0.1 // a thirtieth of the shortest time in which a configuration must be in force
	)
	h := &configHandler{text: manyRoutes(1450)}
	token := cptoken.New("t")
	codec := cpconnect.WithCodec(func(c *clementineport.Config) ([]byte, error) { return c.Text, nil },
		func(text []byte) (*clementineport.Config, error) { return &clementineport.Config{Text: text}, nil })
	server := startServer(t, cpconnect.NewHandler(h, cpconnect.WithToken(token), codec))
	var transferred atomic.Int64
	peer := cpconnect.New(cpconnect.WithAddress(server), cpconnect.WithToken(token), codec,
		cpconnect.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &transferred}, err
		}))
	defer peer.Close()
	for range 2 { // the second call reuses what the first one needed
		transferred.Store(0)
		cfg, err := peer.Config(t.Context(), clementineport.StorePosition{Revision: 1})
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(cfg.Text, h.text))
		assert.Assert(t, followers*transferred.Load() < seconds*linkBytesPerSecond, "%d bytes for %d", transferred.Load(), len(h.text))
	}
}

// startServer serves a handler over HTTP/2 until the test ends and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: handler, Protocols: &http.Protocols{}}
	s.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = s.Serve(listener) }() // ends with the test
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}
