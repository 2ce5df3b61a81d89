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
	// maximumHeaderBytes bounds a request's header.
	maximumHeaderBytes = 64 << 10
	// operatorReadTimeout bounds the reading of an operator's or a peer's request.
	operatorReadTimeout = 30 * time.Second
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
	requests *openRequests
	// ended is closed once no further connection is accepted.
	ended chan struct{}
}

// open opens the three listeners, or none.
func (n *Node) open() ([]*listener, error) {
	listen := n.options.Settings.Listen
	callers := n.options.Settings.Caller
	wanted := []struct {
		name, address string
		server        *http.Server
	}{
		{"caller", listen.Caller, newServer(n.callerHandler(), callers.ReadTimeout, callers.IdleTimeout, n.log)},
		{"operator", listen.Operator, newServer(n.operatorHandler(), operatorReadTimeout, callers.IdleTimeout, n.log)},
		{"peer", listen.Peer, newServer(n.peerHandler(), operatorReadTimeout, callers.IdleTimeout, n.log)},
	}
	var opened []*listener
	for _, one := range wanted {
		socket, err := n.options.Network.Listen(one.address)
		if err != nil {
			closeSockets(opened)
			return nil, fmt.Errorf("%w: %s listener: %w", ErrListen, one.name, err)
		}
		opened = append(opened, newListener(one.name, socket, one.server))
	}
	return opened, nil
}

func newListener(name string, socket net.Listener, server *http.Server) *listener {
	requests := newOpenRequests()
	server.ConnState = requests.track
	return &listener{
		name:     name,
		socket:   &drainingListener{Listener: socket},
		server:   server,
		requests: requests,
		ended:    make(chan struct{}),
	}
}

func closeSockets(opened []*listener) {
	for _, one := range opened {
		_ = one.socket.Close()
	}
}

func newServer(handler http.Handler, read, idle time.Duration, log zerolog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       read,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maximumHeaderBytes,
		ErrorLog:          newServerLog(log),
	}
}

// serve serves until the server is shut down.
func (l *listener) serve() error {
	defer close(l.ended)
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
	case <-l.ended:
	case <-ctx.Done():
	}
	l.server.SetKeepAlivesEnabled(false)
	l.requests.wait(ctx)
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
	}
}
