package backend

import (
	"context"
	"net"
	"net/http"

	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/httpcall"
)

// connection carries one request at a time and has at most one open network
// connection. The first request dials it; after a loss the next request dials
// again.
type connection struct {
	transport *http.Transport
	spares    *spares
	// dialContext is cancelled by close. It aborts a dial that is still running
	// after its request has ended.
	dialContext context.Context
	cancelDials context.CancelFunc
}

// newConnection returns a connection that is dialed by its first request, from
// spareConns if possible.
func (c *Client) newConnection(spareConns *spares) *connection {
	dialContext, cancelDials := context.WithCancel(context.Background())
	conn := &connection{spares: spareConns, dialContext: dialContext, cancelDials: cancelDials}
	conn.transport = httpcall.NewTransport(delivery.WrapDial(conn.dial), 1)
	conn.transport.IdleConnTimeout = c.options.IdleTimeout
	return conn
}

// dial takes a spare connection or opens one. It returns net.ErrClosed if close
// was called in the meantime.
func (c *connection) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.dialContext, cancel)()
	conn, err := c.spares.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.dialContext.Err() != nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// close aborts a running dial and closes the network connection. It must not be
// called while the connection carries a request.
func (c *connection) close() {
	c.cancelDials()
	c.transport.CloseIdleConnections()
}
