package cpconnect

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire/cpwireconnect"
)

// connection is an HTTP/2 connection to a VM. The transport redials it after it breaks.
type connection struct {
	transport *http.Transport
	service   cpwireconnect.PeerServiceClient
	// config is the service with compressed answers, for the configuration. A VM of an earlier build does not compress them.
	config cpwireconnect.PeerServiceClient
}

func newConnection(opts *Options) *connection {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		DialContext: opts.Dial,
		Protocols:   &protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: defaultSendPingTimeout,
			PingTimeout:     defaultPingTimeout,
		},
	}
	service := func(more ...connect.ClientOption) cpwireconnect.PeerServiceClient {
		return cpwireconnect.NewPeerServiceClient(&http.Client{Transport: t}, "http://"+opts.Address, append([]connect.ClientOption{
			connect.WithReadMaxBytes(opts.MaxMessageSize), connect.WithSendMaxBytes(opts.MaxMessageSize),
			connect.WithAcceptCompression("gzip", nil, nil),
		}, more...)...)
	}
	return &connection{
		transport: t, service: service(),
		config: service(connect.WithAcceptCompression(compressionName, newDecompressor(opts.MaxMessageSize), newCompressor)),
	}
}

// replace makes later calls use a new connection instead of an unresponsive one. Calls in flight on the old
// connection are not canceled.
func (c *client) replace(old *connection) {
	if !c.conn.CompareAndSwap(old, newConnection(&c.opts)) {
		return
	}
	old.transport.CloseIdleConnections()
	time.AfterFunc(defaultSendPingTimeout+defaultPingTimeout, old.transport.CloseIdleConnections)
}

// handleError classifies the error of a call and replaces the connection if the call timed out.
func (c *client) handleError(ctx context.Context, conn *connection, err error, sent bool) *clementineport.Error {
	e := classify(ctx, err, sent)
	if e.Fault == clementineport.FaultTimeout {
		c.replace(conn)
	}
	return e
}
