package cppeer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppeer/cpconnect"
	"github.com/clementineport/clementineport/cppeer/cpmessage"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange compares the bytes that an exchange transfers with the encoded size of its two digests.
func BenchmarkExchange(b *testing.B) {
	for _, members := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("Members=%d", members), func(b *testing.B) {
			var bytes atomic.Int64
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				var d net.Dialer
				c, err := d.DialContext(ctx, network, address)
				return countingConn{c, &bytes}, err
			}
			address := listen(b, cpconnect.NewHandler(&fakeHandler{}, connectOptions("", "secret")...))
			peer := cpconnect.New(append(connectOptions(address, "secret"), cpconnect.WithDial(dial))...)
			vm := clementineport.VM{
				ID: "entry-1234", Domain: "domain-a", Caller: "10.20.30.40:8000", Peer: "10.20.30.40:8001", Operator: "10.20.30.40:8002",
			}
			member := clementineport.Member{VM: vm, Start: "abcdefghijklmnop", Incarnation: 1, Revision: 500, Ticket: "abcdefghijklmnop.12345"}
			d := &clementineport.Digest{From: member, Revision: 500, Staleness: time.Second}
			for range members {
				d.Members = append(d.Members, member)
			}
			_, err := peer.Exchange(b.Context(), d)
			assert.NilError(b, err)
			bytes.Store(0)
			for b.Loop() {
				_, err := peer.Exchange(b.Context(), d)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/exchange")
			b.ReportMetric(2*float64(proto.Size(cpmessage.EncodeDigest(d))), "digest-B/exchange")
		})
	}
}
