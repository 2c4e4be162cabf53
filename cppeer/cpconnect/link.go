package cpconnect

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire/cpwireconnect"
)

// link is one HTTP/2 connection to a VM, made anew when it breaks.
type link struct {
	transport *http.Transport
	remote    cpwireconnect.PeerServiceClient
}

func newLink(o *Options) *link {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		DialContext: o.Dial,
		Protocols:   &protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: defaultPingAfter,
			PingTimeout:     defaultPingTimeout,
		},
	}
	remote := cpwireconnect.NewPeerServiceClient(&http.Client{Transport: t}, "http://"+o.Address,
		connect.WithReadMaxBytes(o.MaxMessageSize), connect.WithSendMaxBytes(o.MaxMessageSize),
		connect.WithAcceptCompression("gzip", nil, nil))
	return &link{transport: t, remote: remote}
}

// replace makes later calls use a new connection in place of one that went silent. Calls in progress on the
// old one end by themselves.
func (c *client) replace(old *link) {
	if !c.link.CompareAndSwap(old, newLink(&c.opts)) {
		return
	}
	old.transport.CloseIdleConnections()
	time.AfterFunc(defaultPingAfter+defaultPingTimeout, old.transport.CloseIdleConnections)
}

// failed classifies the error of a call and replaces the connection if the call timed out on it.
func (c *client) failed(ctx context.Context, l *link, err error, sent bool) *clementineport.Error {
	e := classify(ctx, err, sent)
	if e.Fault == clementineport.FaultTimeout {
		c.replace(l)
	}
	return e
}
