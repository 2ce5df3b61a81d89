// Package usertimeout makes connections to unresponsive machines fail. A connection fails if
// the peer's kernel does not acknowledge sent bytes within a limit. A slow peer is not
// affected, because its kernel still acknowledges them.
package usertimeout

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnsupported is returned for a connection that does not support the timeout.
var ErrUnsupported = errors.New("usertimeout: not supported by the connection")

// Setter is implemented by connections that enforce the timeout themselves, such as those of a
// simulated network.
type Setter interface {
	SetUserTimeout(limit time.Duration) error
}

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

// Set limits how long sent bytes may remain unacknowledged before the connection fails
// (TCP_USER_TIMEOUT, in whole milliseconds). It unwraps the connection through NetConn and returns
// ErrUnsupported if the innermost connection has no such option.
func Set(conn net.Conn, limit time.Duration) error {
	for {
		outer, ok := conn.(wrapper)
		if !ok {
			break
		}
		conn = outer.NetConn()
	}
	switch conn := conn.(type) {
	case Setter:
		return conn.SetUserTimeout(limit)
	case syscall.Conn:
		return setSocketOption(conn, limit)
	default:
		return ErrUnsupported
	}
}

func setSocketOption(conn syscall.Conn, limit time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("usertimeout: %w", err)
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err = errors.Join(err, optionErr); err != nil {
		return fmt.Errorf("usertimeout: %w", err)
	}
	return nil
}
