package inbound

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBufferBytes limits what the kernel receives for one connection before the node reads it, as
// that counts towards the memory of the process. It holds a body of greatest size in a few round
// trips.
const receiveBufferBytes = 32 << 10

// OpenSocket listens on an address. Accepted connections have small receive buffers.
func OpenSocket(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // without it the node only needs more memory
		})
	}}
	return config.Listen(context.Background(), network, address)
}
