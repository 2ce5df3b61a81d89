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
func TestCrashedServerListensBriefly(t *testing.T) {
	const listenTime = 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: func(context.Context, string, string) (net.Conn, error) {
			if time.Since(start) >= listenTime {
				return nil, syscall.ECONNREFUSED
			}
			clientConn, serverConn := net.Pipe()
			time.AfterFunc(listenTime-time.Since(start), func() { _ = serverConn.Close() })
			return clientConn, nil
		}})
		defer client.PruneIdle(nil, 0)
		if !client.HasCrashed(discovery.Server{ID: "server-1"}) {
			t.Error("a server that goes is taken for one that lost a connection")
		}
	})
}

// What stands in front of a server takes connections and breaks them at once, for a while after the
// server has gone; one that has too many connections does so for longer, and has not ended.
func TestConnectionsClosedOnAccept(t *testing.T) {
	for name, test := range map[string]struct {
		closesFor time.Duration
		crashed   bool
	}{
		"gone":                  {closesFor: 8 * time.Millisecond, crashed: true},
		"too many connections":  {closesFor: time.Minute},
		"back after one resets": {closesFor: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, dials := time.Now(), 0
				var server net.Conn
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: func(context.Context, string, string) (net.Conn, error) {
					dials++
					clientConn, serverConn := net.Pipe()
					switch {
					case dials == 1 || time.Since(start) < test.closesFor:
						_ = serverConn.Close()
					case test.crashed:
						return nil, syscall.ECONNREFUSED
					}
					server = serverConn
					return clientConn, nil
				}})
				if got := client.HasCrashed(discovery.Server{ID: "server-1"}); got != test.crashed || dials > 3 {
					t.Errorf("ended %v after %d connections, want %v", got, dials, test.crashed)
				}
				client.PruneIdle(nil, 0)
				_ = server.Close()
			})
		})
	}
}
