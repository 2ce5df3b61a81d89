package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// controlReadTimeout bounds the reading of an operator's or a peer's request.
	controlReadTimeout = 30 * time.Second
)

// Addresses are where the listeners really listen.
type Addresses struct {
	Caller, Operator, Peer string
}

// listener is one open listener with its server.
type listener struct {
	name   string
	socket *drainingListener
	server *http.Server
	// requests tells which connections may carry a request.
	requests *requestTracker
	// acceptStopped is closed once no further connection is accepted.
	acceptStopped chan struct{}
}

// openListeners opens the three listeners, or none.
func (n *Node) openListeners() ([]*listener, error) {
	listen := n.options.Settings.Listen
	callers := n.options.Settings.Caller
	specs := []struct {
		name, address string
		server        *http.Server
	}{
		{"caller", listen.Caller, newServer(n.callerHandler(), callers.ReadTimeout, callers.IdleTimeout, n.log)},
		{"operator", listen.Operator, newServer(n.operatorHandler(), controlReadTimeout, callers.IdleTimeout, n.log)},
		{"peer", listen.Peer, newServer(n.peerHandler(), controlReadTimeout, callers.IdleTimeout, n.log)},
	}
	var opened []*listener
	for _, spec := range specs {
		socket, err := n.options.Network.Listen(spec.address)
		if err != nil {
			closeSockets(opened)
			return nil, fmt.Errorf("%w: %s listener: %w", ErrListen, spec.name, err)
		}
		opened = append(opened, newListener(spec.name, socket, spec.server))
	}
	return opened, nil
}

func newListener(name string, socket net.Listener, server *http.Server) *listener {
	requests := newRequestTracker()
	server.ConnState = requests.track
	return &listener{
		name:          name,
		socket:        &drainingListener{Listener: socket},
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
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       read,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newServerLog(log),
	}
}

// serve serves until the server is shut down.
func (l *listener) serve() error {
	defer close(l.acceptStopped)
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) || l.socket.draining.Load() {
		return nil
	}
	return fmt.Errorf("%w: %s listener: %w", ErrServe, l.name, err)
}

// shutdown ends the listener and its idle connections. The others close after
// the response to their request, also to one that is still to come; when ctx
// ends first they are cut.
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
