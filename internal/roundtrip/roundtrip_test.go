package roundtrip_test

import (
	"net"
	"testing"
	"time"

	"github.com/banksail/banksail/internal/roundtrip"
)

// reportingConn is a connection that reports its own round-trip time.
type reportingConn struct {
	net.Conn
	mean, deviation time.Duration
}

func (c reportingConn) RoundTrip() (mean, deviation time.Duration) { return c.mean, c.deviation }

// wrapped is a connection that wraps another one.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

func TestEstimate(t *testing.T) {
	inner := reportingConn{mean: 9 * time.Millisecond, deviation: time.Millisecond}
	mean, deviation, known := roundtrip.Estimate(wrapped{wrapped{inner}})
	if !known || mean != inner.mean || deviation != inner.deviation {
		t.Errorf("Estimate returned %s, %s, %t, want the values of the inner connection", mean, deviation, known)
	}
	if _, _, known := roundtrip.Estimate(wrapped{reportingConn{}}); known {
		t.Error("got an estimate for a connection that reports none")
	}
	if _, _, known := roundtrip.Estimate(nil); known {
		t.Error("got an estimate for a nil connection")
	}
}

// The kernel provides an estimate for an open loopback connection, and none after it is closed.
func TestEstimateFromKernel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	mean, _, known := roundtrip.Estimate(wrapped{conn})
	if !known || mean > time.Second {
		t.Errorf("got a round-trip time of %s, %t, want at most 1s, true", mean, known)
	}
	_ = conn.Close()
	if _, _, known := roundtrip.Estimate(conn); known {
		t.Error("got an estimate for a closed connection")
	}
}
