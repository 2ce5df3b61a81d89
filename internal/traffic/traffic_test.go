package traffic

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestMeterCountsBytesByPurpose(t *testing.T) {
	meter := NewMeter(prometheus.NewRegistry())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := meter.Listener(Callers, inner)
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, err = io.Copy(conn, conn)
		ended <- errors.Join(err, conn.Close())
	}()
	conn, err := meter.Dial(Servers, nil)(context.Background(), "tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("twelve bytes")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 12)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(conn.Close(), <-ended, listener.Close()); err != nil {
		t.Fatal(err)
	}
	for _, purpose := range []Purpose{Callers, Servers} {
		for _, direction := range []string{"in", "out"} {
			if got := testutil.ToFloat64(meter.bytes.WithLabelValues(string(purpose), direction)); got != 12 {
				t.Errorf("%s %s: %v bytes, want 12", purpose, direction, got)
			}
		}
	}
}

// A counted connection passes SyscallConn through, which package exchange needs. A pipe has no
// descriptor, so the call fails.
func TestSyscallConnUnsupported(t *testing.T) {
	meter := NewMeter(nil)
	near, far := net.Pipe()
	defer func() { _ = errors.Join(near.Close(), far.Close()) }()
	if _, err := meter.wrapConn(Servers, near).(*countingConn).SyscallConn(); !errors.Is(err, errNoSyscallConn) {
		t.Errorf("SyscallConn of a pipe returned %v, want errNoSyscallConn", err)
	}
}
