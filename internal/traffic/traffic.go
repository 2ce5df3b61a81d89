// Package traffic counts the bytes of connections by what they are for.
package traffic

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/banksail/banksail/internal/httpcall"
)

// Purpose tells what a connection is for.
type Purpose string

// Purposes of a node's connections. Checks are readiness, directory and metrics.
const (
	Callers Purpose = "callers"
	Servers Purpose = "servers"
	Nodes   Purpose = "nodes"
	Checks  Purpose = "checks"
)

// Meter counts bytes. Its methods may be called from several goroutines.
type Meter struct{ bytes *prometheus.CounterVec }

// NewMeter returns a meter; a nil registry takes no metrics.
func NewMeter(registry prometheus.Registerer) *Meter {
	m := &Meter{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "banksail_connection_bytes_total", Help: "Bytes of connections, without those of TCP and IP, by what they are for.",
	}, []string{"purpose", "direction"})}
	if registry != nil {
		registry.MustRegister(m.bytes)
	}
	return m
}

// Dial counts the connections that are opened; a nil dial means the operating system's TCP.
func (m *Meter) Dial(purpose Purpose, dial httpcall.DialFunc) httpcall.DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.wrapConn(purpose, conn), nil
	}
}

// Listener counts the connections that are accepted.
func (m *Meter) Listener(purpose Purpose, listener net.Listener) net.Listener {
	return &countingListener{Listener: listener, meter: m, purpose: purpose}
}

func (m *Meter) wrapConn(purpose Purpose, conn net.Conn) net.Conn {
	return &countingConn{
		Conn:     conn,
		received: m.bytes.WithLabelValues(string(purpose), "in"),
		sent:     m.bytes.WithLabelValues(string(purpose), "out"),
	}
}

type countingListener struct {
	net.Listener
	meter   *Meter
	purpose Purpose
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrapConn(l.purpose, conn), nil
}

// countingConn counts what one connection carries.
type countingConn struct {
	net.Conn
	received, sent prometheus.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(buffer []byte) (int, error) {
	length, err := c.Conn.Read(buffer)
	c.received.Add(float64(length))
	return length, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	length, err := c.Conn.Write(data)
	c.sent.Add(float64(length))
	return length, err
}

// NetConn is the connection that is counted.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// errNoSyscallConn: the connection is none of the operating system's.
var errNoSyscallConn = errors.New("traffic: the connection has no descriptor")

// SyscallConn implements syscall.Conn where the connection does.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSyscallConn
	}
	return inner.SyscallConn()
}
