// Package node runs one banksail node. It owns the sockets, clocks and locks,
// and drives the deterministic state machines of the other packages.
package node

import (
	"context"
	"net"
)

// Network opens the node's sockets. The daemon uses SystemNetwork; simulations
// use an in-memory network.
type Network interface {
	// Listen listens on an IP address and port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an IP address and port.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
