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

// A process that crashes closes its connections before its listener, so a crash check dialed in
// between is accepted and then disconnected. If that connection is not observed, the server counts
// as running: eleven servers crashed under one request, and seven of those crashes were recorded
// as "connection_lost" instead of "server_ended"; four times the request reached a server more
// than five seconds after the third crash. In three soak runs the same held for 45 of 186
// attempts on fingerprints under which servers crashed.
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
			t.Error("crashed server was reported as running")
		}
	})
}

// A proxy in front of a crashed server accepts connections and closes them at once for a short
// time. A server with too many connections does so for longer, but has not crashed.
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
					t.Errorf("crashed %v after %d dials, want %v", got, dials, test.crashed)
				}
				client.PruneIdle(nil, 0)
				_ = server.Close()
			})
		})
	}
}
