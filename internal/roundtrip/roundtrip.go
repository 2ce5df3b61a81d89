// Package roundtrip reads the round-trip time of a connection as estimated by the kernel, which
// measures it from the opening of the connection on.
package roundtrip

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Reporter is implemented by connections that report their own round-trip time, such as those of
// a simulated network.
type Reporter interface {
	RoundTrip() (mean, deviation time.Duration)
}

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

// Estimate returns the smoothed round-trip time of a connection and its mean deviation, as in
// TCP_INFO. It unwraps the connection through NetConn. known is false if there is no estimate.
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

// kernelEstimate reads the estimate from the kernel. It returns zeros if there is none.
func kernelEstimate(conn syscall.Conn) (mean, deviation time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0 // the connection is closed, so nothing can be sent on it
	}
	var info *unix.TCPInfo
	err = raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO) // info is nil on an error
	})
	if err != nil || info == nil {
		return 0, 0
	}
	return time.Duration(info.Rtt) * time.Microsecond, time.Duration(info.Rttvar) * time.Microsecond
}
