// Package traffic counts the bytes sent and received on connections, by purpose.
package traffic

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/banksail/banksail/internal/httpcall"
)

// Purpose is what a connection is used for; it is a label of the metric.
type Purpose string

// Purposes of a node's connections. Checks covers the readiness, directory and metrics endpoints.
const (
	Callers Purpose = "callers"
	Servers Purpose = "servers"
	Nodes   Purpose = "nodes"
	Checks  Purpose = "checks"
)

// Meter counts bytes per purpose and direction. Its methods are safe for concurrent use.
type Meter struct{ bytes *prometheus.CounterVec }

// NewMeter returns a Meter. With a nil registry its metric is not registered.
func NewMeter(registry prometheus.Registerer) *Meter {
	m := &Meter{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "banksail_connection_bytes_total", Help: "Bytes of connections, without those of TCP and IP, by what they are for.",
	}, []string{"purpose", "direction"})}
	if registry != nil {
		registry.MustRegister(m.bytes)
	}
	return m
}

// Dial returns a dial function whose connections are counted. A nil dial uses TCP through
// net.Dialer.
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

// Listener returns a listener whose accepted connections are counted.
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

// countingListener counts the bytes of the connections that it accepts.
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

// countingConn counts the bytes read from and written to a connection.
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

// NetConn returns the underlying connection.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// errNoSyscallConn means that the underlying connection is not one of the operating system.
var errNoSyscallConn = errors.New("traffic: the connection does not support SyscallConn")

// SyscallConn implements syscall.Conn if the underlying connection does.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSyscallConn
	}
	return inner.SyscallConn()
}
