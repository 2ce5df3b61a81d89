package gateway

import (
	"net"
	"time"

	"github.com/banksail/banksail/inbound"
)

// Timeouts for callers' connections before the first route table is known.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = time.Minute
)

// callerTimeouts returns the timeouts of the route table in force.
func (g *Gateway) callerTimeouts() inbound.Timeouts {
	if table := g.table.Load(); table != nil {
		return inbound.Timeouts{Header: table.Limits.HeaderTimeout, Idle: table.Limits.IdleTimeout}
	}
	return inbound.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}
}

// WrapListener returns a listener whose connections let the gateway inspect the framing of
// requests, and enforce the table's limits on callers. The http.Server must pass every request to
// the gateway, so it must have DisableGeneralOptionsHandler set, and inbound.ConnContext.
func (g *Gateway) WrapListener(listener net.Listener) net.Listener {
	return inbound.Listen(listener, inbound.Options{Timeouts: g.callerTimeouts, Connections: g.options.Connections, Memory: g.options.Memory})
}
