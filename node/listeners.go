package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/inbound"
	"github.com/banksail/banksail/internal/resource"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// controlReadTimeout bounds the time to read a request of an operator or a
	// peer.
	controlReadTimeout = 30 * time.Second
	// operatorConnections and peerConnections bound the connections on these
	// listeners. Every other node may keep one.
	operatorConnections = 128
	peerConnections     = 1536
	// controlMemoryBytes bounds the memory of requests on each of these
	// listeners, beyond the first bytes of each; two forwarded documents of the
	// maximum size always fit.
	controlMemoryBytes = 16 << 20
	// connectionStall is how long a connection must have been silent before it
	// can be closed in favour of another one.
	connectionStall = 5 * time.Millisecond
)

// Addresses are the actual listen addresses, with the ports that the kernel
// chose where the settings leave them open.
type Addresses struct {
	Caller, Operator, Peer string
}

// listener is an open listening socket with the HTTP server that uses it.
type listener struct {
	name   string
	socket *drainingListener
	// guarded accepts the connections of socket within limits.
	guarded net.Listener
	server  *http.Server
	// requests tracks the connections that may carry a request.
	requests *requestTracker
	// acceptStopped is closed once the server accepts no more connections.
	acceptStopped chan struct{}
}

// openListeners opens the caller, operator and peer listeners. If one fails, it
// closes the others and returns an error that wraps ErrListen.
func (n *Node) openListeners() ([]*listener, error) {
	listen := n.options.Settings.Listen
	callers := n.options.Settings.Caller
	specs := []struct {
		name, address string
		server        *http.Server
		limits        listenerLimits
	}{
		{"caller", listen.Caller, newServer(n.callerHandler(), callers.ReadTimeout, callers.IdleTimeout, n.log), listenerLimits{callers.Connections, callers.MemoryBytes}},
		{"operator", listen.Operator, newServer(n.operatorHandler(), controlReadTimeout, callers.IdleTimeout, n.log), listenerLimits{operatorConnections, controlMemoryBytes}},
		{"peer", listen.Peer, newServer(n.peerHandler(), controlReadTimeout, callers.IdleTimeout, n.log), listenerLimits{peerConnections, controlMemoryBytes}},
	}
	var opened []*listener
	for _, spec := range specs {
		socket, err := n.options.Network.Listen(spec.address)
		if err != nil {
			closeSockets(opened)
			return nil, fmt.Errorf("%w: %s: %w", ErrListen, spec.name, err)
		}
		spec.limits.memoryBytes = max(spec.limits.memoryBytes, minDocuments*inbound.BufferGrowth*callers.BodyBytes)
		opened = append(opened, newListener(spec.name, socket, spec.server, spec.limits))
	}
	return opened, nil
}

// minDocuments is the number of documents of the maximum size that always fit
// into a listener's memory.
const minDocuments = 2

// listenerLimits limits the connections on a listener, and the memory of their
// requests in bytes.
type listenerLimits struct {
	connections int
	memoryBytes int64
}

func newListener(name string, socket net.Listener, server *http.Server, limits listenerLimits) *listener {
	requests := newRequestTracker()
	server.ConnState = requests.track
	draining := &drainingListener{Listener: socket}
	return &listener{
		name:   name,
		socket: draining,
		guarded: inbound.Listen(draining, inbound.Options{
			Timeouts: func() inbound.Timeouts {
				return inbound.Timeouts{Header: server.ReadHeaderTimeout, Idle: server.IdleTimeout}
			},
			Connections: resource.NewPool(resource.Options{Limit: int64(limits.connections), MinStall: connectionStall}),
			Memory:      resource.NewPool(resource.Options{Limit: limits.memoryBytes}),
		}),
		server:        server,
		requests:      requests,
		acceptStopped: make(chan struct{}),
	}
}

func closeSockets(opened []*listener) {
	for _, server := range opened {
		_ = server.socket.Close()
	}
}

func newServer(handler http.Handler, read, idle time.Duration, log zerolog.Logger) *http.Server {
	return &http.Server{
		Handler:           inbound.Handler(handler),
		ConnContext:       inbound.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       read,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newServerLog(log),

		DisableGeneralOptionsHandler: true, // inbound must see every request
	}
}

// serve serves requests until the listener is shut down.
func (l *listener) serve() error {
	defer close(l.acceptStopped)
	err := l.server.Serve(l.guarded)
	if errors.Is(err, http.ErrServerClosed) || l.socket.draining.Load() {
		return nil
	}
	return fmt.Errorf("%w: %s: %w", ErrServe, l.name, err)
}

// shutdown stops accepting connections and closes idle ones. Each remaining
// connection is closed after the response to its request, also if that request
// has yet to arrive; if ctx ends first, they are closed at once.
func (l *listener) shutdown(ctx context.Context) {
	l.socket.drain()
	select {
	case <-l.acceptStopped:
	case <-ctx.Done():
	}
	l.server.SetKeepAlivesEnabled(false)
	l.requests.wait(ctx)
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
	}
}
