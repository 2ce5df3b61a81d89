package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/wire"
)

// assumedOverheadBytes is the HTTP overhead that the simulation in package
// membership assumes for one exchange.
const assumedOverheadBytes = 420

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func TestExchangeOverhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		target := startNode(t, network, AgentOptions{Self: member("n1")})
		defer target.stop()
		var bytes atomic.Int64
		dial := network.dialFrom(t, addressOf("elsewhere"))
		transport := &http.Transport{DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			connection, err := dial(ctx, kind, address)
			return countingConn{Conn: connection, bytes: &bytes}, err
		}}
		defer transport.CloseIdleConnections()
		stub := NewPeerProtobufClient("http://"+addressOf("n1"), &http.Client{Transport: transport})
		sender := member("n2")
		sender.State = membership.Live
		request := &GossipRequest{Sender: wire.FromMember(sender)}
		response, err := stub.Gossip(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		overhead := int(bytes.Load()) - proto.Size(request) - proto.Size(response)
		if overhead > assumedOverheadBytes {
			t.Fatalf("HTTP adds %d bytes to an exchange, the simulation assumes at most %d", overhead, assumedOverheadBytes)
		}
		t.Logf("HTTP adds %d bytes to an exchange", overhead)
	})
}
