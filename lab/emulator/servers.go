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

// Timeouts of the stand-ins' HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// controlTimeout bounds the reading of a request above the connection limit.
	controlTimeout = 200 * time.Millisecond
)

// endpoint is what the stand-ins have in common: the routes of their protocol
// and fault switches, served in-process or on listeners.
type endpoint struct {
	mux     *http.ServeMux
	servers *httpServers
}

func newEndpoint() endpoint {
	return endpoint{mux: http.NewServeMux(), servers: newHTTPServers()}
}

// ServeHTTP serves the stand-in's protocol and the fault switches.
func (e endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.mux.ServeHTTP(writer, request)
}

// Serve serves connections of the listener until the stand-in is closed; it
// returns nil then.
func (e endpoint) Serve(listener net.Listener) error {
	return e.servers.serve(e.mux, listener)
}

// Close ends Serve, cuts its connections and ends what a fault holds back.
func (e endpoint) Close() error {
	return e.servers.close()
}

// httpServers owns the HTTP servers of a stand-in.
type httpServers struct {
	// ctx ends with the stand-in.
	ctx    context.Context
	cancel context.CancelFunc

	// mutex guards the fields below. Invariant: after closed is set, no server
	// is added.
	mutex   sync.Mutex
	closed  bool
	servers []*http.Server
	// newConns holds the connections that have not carried a request yet.
	newConns map[net.Conn]struct{}
}

func newHTTPServers() *httpServers {
	ctx, cancel := context.WithCancel(context.Background())
	return &httpServers{ctx: ctx, cancel: cancel, newConns: make(map[net.Conn]struct{})}
}

// serve serves the listener until close; it returns nil then.
func (h *httpServers) serve(handler http.Handler, listener net.Listener) error {
	return h.serveWith(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}, listener)
}

// serveControl serves connections of one request each, which must come at once.
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

// shutdown closes the listeners and waits for the requests in flight. It closes
// the connections that carried none yet, for which net/http would wait.
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
