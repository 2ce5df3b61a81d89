package usertimeout_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banksail/banksail/internal/usertimeout"
)

// wrapped is a connection that wraps another one.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

func TestSetSocketOption(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := usertimeout.Set(wrapped{wrapped{conn}}, 700*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if err := raw.Control(func(descriptor uintptr) {
		got, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil || got != 700 {
		t.Errorf("TCP_USER_TIMEOUT is %d ms (error %v), want 700 ms", got, err)
	}
}

func TestSetUnsupportedConnection(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = errors.Join(near.Close(), far.Close()) }()
	if err := usertimeout.Set(near, time.Second); !errors.Is(err, usertimeout.ErrUnsupported) {
		t.Error(err)
	}
}
