package node

import (
	"errors"
	"net"
	"testing"
)

func TestDrainingListenerReturnsPendingConnections(t *testing.T) {
	const waiting = 50
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &drainingListener{Listener: socket}
	for range waiting {
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	listener.drain()
	for index := range waiting {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatalf("accepting pending connection %d: %v", index, err)
		}
		_ = conn.Close()
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after the last pending connection: %v, want net.ErrClosed", err)
	}
	if _, err := net.Dial("tcp", socket.Addr().String()); err == nil {
		t.Error("the listener is still open")
	}
}
