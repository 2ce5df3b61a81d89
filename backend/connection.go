package backend

import (
	"context"
	"net"
	"net/http"

	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/httpcall"
)

// connection carries one request at a time. It is opened by the first one, and
// anew by the next one after it was lost; it is at most one open connection.
type connection struct {
	transport *http.Transport
	spares    *spares
	// dialContext ends dials that outlive their request.
	dialContext context.Context
	cancelDials context.CancelFunc
}

func (c *Client) newConnection(spareConns *spares) *connection {
	dialContext, cancelDials := context.WithCancel(context.Background())
	conn := &connection{spares: spareConns, dialContext: dialContext, cancelDials: cancelDials}
	conn.transport = httpcall.NewTransport(delivery.WrapDial(conn.dial), 1)
	conn.transport.IdleConnTimeout = c.options.IdleTimeout
	return conn
}

// dial takes a spare connection or opens one, unless this one closed meanwhile.
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

// close is called while the connection carries no request.
func (c *connection) close() {
	c.cancelDials()
	c.transport.CloseIdleConnections()
}
