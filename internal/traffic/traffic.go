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
func (m *Meter) Dial(what Purpose, dial httpcall.DialFunc) httpcall.DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.count(what, conn), nil
	}
}

// Listener counts the connections that are accepted.
func (m *Meter) Listener(what Purpose, listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, meter: m, what: what}
}

func (m *Meter) count(what Purpose, conn net.Conn) net.Conn {
	return &countedConn{
		Conn:     conn,
		received: m.bytes.WithLabelValues(string(what), "in"),
		sent:     m.bytes.WithLabelValues(string(what), "out"),
	}
}

type countedListener struct {
	net.Listener
	meter *Meter
	what  Purpose
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.count(l.what, conn), nil
}

// countedConn counts what one connection carries.
type countedConn struct {
	net.Conn
	received, sent prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	length, err := c.Conn.Read(buffer)
	c.received.Add(float64(length))
	return length, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	length, err := c.Conn.Write(data)
	c.sent.Add(float64(length))
	return length, err
}

// NetConn is the connection that is counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// errNoDescriptor: the connection is none of the operating system's.
var errNoDescriptor = errors.New("traffic: the connection has no descriptor")

// SyscallConn implements syscall.Conn where the connection does.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return inner.SyscallConn()
}
