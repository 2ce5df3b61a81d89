package roundtrip_test

import (
	"net"
	"testing"
	"time"

	"github.com/banksail/banksail/internal/roundtrip"
)

// reportingConn is a connection that knows its own round trip.
type reportingConn struct {
	net.Conn
	mean, deviation time.Duration
}

func (c reportingConn) RoundTrip() (mean, deviation time.Duration) { return c.mean, c.deviation }

// wrapped is a connection around another one.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

func TestEstimate(t *testing.T) {
	inner := reportingConn{mean: 9 * time.Millisecond, deviation: time.Millisecond}
	mean, deviation, known := roundtrip.Estimate(wrapped{wrapped{inner}})
	if !known || mean != inner.mean || deviation != inner.deviation {
		t.Errorf("told %s, %s, %t", mean, deviation, known)
	}
	if _, _, known := roundtrip.Estimate(wrapped{reportingConn{}}); known {
		t.Error("a connection that knows nothing is known")
	}
	if _, _, known := roundtrip.Estimate(nil); known {
		t.Error("no connection is known")
	}
}

// A connection over the kernel's loopback is measured, and is none once it is closed.
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
		t.Errorf("a round trip of %s, %t", mean, known)
	}
	_ = conn.Close()
	if _, _, known := roundtrip.Estimate(conn); known {
		t.Error("a closed connection is known")
	}
}
