// Package usertimeout ends connections to machines that have fallen silent: a
// connection whose sent bytes the peer leaves unacknowledged for too long fails, which a
// slow peer, whose kernel acknowledges them, does not.
package usertimeout

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnsupported is returned for a connection that can't be bounded.
var ErrUnsupported = errors.New("usertimeout: not supported by the connection")

// Setter is a connection that bounds its own silence, as those of a simulated network do.
type Setter interface {
	SetUserTimeout(limit time.Duration) error
}

// wrapper is a connection around another one.
type wrapper interface{ NetConn() net.Conn }

// Set bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
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
