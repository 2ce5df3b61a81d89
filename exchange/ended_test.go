package exchange_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
)

// Eleven servers ended under one request before it was refused, which reached them four times more than
// five seconds after the third end. Seven of the ends stand as "connection_lost" in the attempts, four
// as "server_ended": a server that goes breaks its connections first, and one that is asked whether it
// is still there a moment before its listener closes takes the connection, which breaks then.
// Nobody watched that connection, so the server was taken for one that is there. With contents on the
// lines of lost connections, three plays of a soak showed the same for 45 of 186 attempts on contents
// under which servers ended.
func TestServersThatStopListeningAfterTheirConnectionsBreak(t *testing.T) {
	const listensOn = 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: func(context.Context, string, string) (net.Conn, error) {
			if time.Since(began) >= listensOn {
				return nil, syscall.ECONNREFUSED
			}
			near, far := net.Pipe()
			time.AfterFunc(listensOn-time.Since(began), func() { _ = far.Close() })
			return near, nil
		}})
		defer client.Retain(nil, 0)
		if !client.HasEnded(discovery.Server{ID: "server-1"}) {
			t.Error("a server that goes is taken for one that lost a connection")
		}
	})
}
