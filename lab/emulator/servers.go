package emulator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Timeouts of the emulated services' HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// controlTimeout bounds the time for reading a request on a connection above
	// the connection limit.
	controlTimeout = 200 * time.Millisecond
)

// endpoint is the common part of the emulated services: the routes of their
// protocol and of their fault settings, served in-process or on listeners.
type endpoint struct {
	mux     *http.ServeMux
	servers *httpServers
}

func newEndpoint() endpoint {
	return endpoint{mux: http.NewServeMux(), servers: newHTTPServers()}
}

// ServeHTTP handles requests of the emulated protocol and for the fault settings.
func (e endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.mux.ServeHTTP(writer, request)
}

// Serve serves connections of the listener until the service is closed, and then
// returns nil.
func (e endpoint) Serve(listener net.Listener) error {
	return e.servers.serve(e.mux, listener)
}

// Close stops Serve, closes all its connections and cancels requests that a
// fault suspends.
func (e endpoint) Close() error {
	return e.servers.close()
}

// httpServers owns the HTTP servers of an emulated service, one per listener.
type httpServers struct {
	// ctx is cancelled when the service is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// mutex guards the fields below. Invariant: no server is added once closed is
	// set.
	mutex   sync.Mutex
	closed  bool
	servers []*http.Server
	// newConns holds the connections on which no request has arrived yet.
	newConns map[net.Conn]struct{}
}

func newHTTPServers() *httpServers {
	ctx, cancel := context.WithCancel(context.Background())
	return &httpServers{ctx: ctx, cancel: cancel, newConns: make(map[net.Conn]struct{})}
}

// serve serves the listener until close or shutdown, and then returns nil.
func (h *httpServers) serve(handler http.Handler, listener net.Listener) error {
	return h.serveWith(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}, listener)
}

// serveControl is like serve, but each connection serves only one request, which
// must arrive within controlTimeout.
func (h *httpServers) serveControl(handler http.Handler, listener net.Listener) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: controlTimeout,
		ReadTimeout:       controlTimeout,
	}
	server.SetKeepAlivesEnabled(false)
	return h.serveWith(server, listener)
}

func (h *httpServers) serveWith(server *http.Server, listener net.Listener) error {
	server.ConnState = h.trackConnState
	if !h.add(server) {
		return listener.Close()
	}
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *httpServers) add(server *http.Server) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed {
		return false
	}
	h.servers = append(h.servers, server)
	return true
}

func (h *httpServers) trackConnState(conn net.Conn, state http.ConnState) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if state == http.StateNew {
		h.newConns[conn] = struct{}{}
		return
	}
	delete(h.newConns, conn)
}

// shutdown closes the listeners and waits for in-flight requests. It also closes
// connections on which no request has arrived yet, since http.Server.Shutdown
// would wait for them.
func (h *httpServers) shutdown(ctx context.Context) error {
	h.mutex.Lock()
	h.closed = true
	servers := slices.Clone(h.servers)
	h.mutex.Unlock()
	ended := make(chan error, len(servers))
	for _, server := range servers {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	h.closeNewConns()
	var problems []error
	for range servers {
		problems = append(problems, <-ended)
	}
	return errors.Join(problems...)
}

func (h *httpServers) closeNewConns() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for conn := range h.newConns {
		_ = conn.Close()
	}
}

func (h *httpServers) close() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = true
	h.cancel()
	var problems []error
	for _, server := range h.servers {
		problems = append(problems, server.Close())
	}
	return errors.Join(problems...)
}
