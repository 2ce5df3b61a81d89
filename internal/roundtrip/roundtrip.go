// Package roundtrip tells how long a message takes over a connection and back, as its
// kernel has measured it, from the opening of the connection on.
package roundtrip

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Reporter is a connection that knows its own time, as those of a simulated network may.
type Reporter interface {
	RoundTrip() (mean, deviation time.Duration)
}

// wrapper is a connection around another one.
type wrapper interface{ NetConn() net.Conn }

// Estimate returns the smoothed round trip of a connection and its mean deviation (TCP_INFO); known
// is false where the connection tells none.
func Estimate(conn net.Conn) (mean, deviation time.Duration, known bool) {
	for {
		outer, ok := conn.(wrapper)
		if !ok {
			break
		}
		conn = outer.NetConn()
	}
	switch conn := conn.(type) {
	case Reporter:
		mean, deviation = conn.RoundTrip()
	case syscall.Conn:
		mean, deviation = kernelEstimate(conn)
	}
	return mean, deviation, mean > 0
}

// kernelEstimate asks the kernel; zero is that it tells nothing.
func kernelEstimate(conn syscall.Conn) (mean, deviation time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0 // the connection is closed: its answer goes nowhere
	}
	var info *unix.TCPInfo
	err = raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO) // nil on an error
	})
	if err != nil || info == nil {
		return 0, 0
	}
	return time.Duration(info.Rtt) * time.Microsecond, time.Duration(info.Rttvar) * time.Microsecond
}
