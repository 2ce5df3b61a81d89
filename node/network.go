// Package node runs one banksail node: it owns sockets, clocks and locks, and
// drives the pure state machines of the other packages.
package node

import (
	"context"
	"net"
)

// Network opens the node's sockets. The daemon uses the operating system's;
// simulations use one in memory.
type Network interface {
	// Listen accepts connections on an IP number and port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an IP number and port.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
