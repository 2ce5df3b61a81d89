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
	mux   *http.ServeMux
	ended *lifetime
}

func newEndpoint() endpoint {
	return endpoint{mux: http.NewServeMux(), ended: newLifetime()}
}

// ServeHTTP serves the stand-in's protocol and the fault switches.
func (e endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.mux.ServeHTTP(writer, request)
}

// Serve serves connections of the listener until the stand-in is closed; it
// returns nil then.
func (e endpoint) Serve(listener net.Listener) error {
	return e.ended.serve(e.mux, listener)
}

// Close ends Serve, cuts its connections and ends what a fault holds back.
func (e endpoint) Close() error {
	return e.ended.close()
}

// lifetime owns the HTTP servers of a stand-in.
type lifetime struct {
	// ctx ends with the stand-in.
	ctx    context.Context
	cancel context.CancelFunc

	// mutex guards the fields below. Invariant: after closed is set, no server
	// is added.
	mutex   sync.Mutex
	closed  bool
	servers []*http.Server
	// unused holds the connections that have not carried a request yet.
	unused map[net.Conn]struct{}
}

func newLifetime() *lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return &lifetime{ctx: ctx, cancel: cancel, unused: make(map[net.Conn]struct{})}
}

// serve serves the listener until close; it returns nil then.
func (l *lifetime) serve(handler http.Handler, listener net.Listener) error {
	return l.run(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}, listener)
}

// serveControl serves connections of one request each, which must come at once.
func (l *lifetime) serveControl(handler http.Handler, listener net.Listener) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: controlTimeout,
		ReadTimeout:       controlTimeout,
	}
	server.SetKeepAlivesEnabled(false)
	return l.run(server, listener)
}

func (l *lifetime) run(server *http.Server, listener net.Listener) error {
	server.ConnState = l.noteState
	if !l.add(server) {
		return listener.Close()
	}
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (l *lifetime) add(server *http.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return false
	}
	l.servers = append(l.servers, server)
	return true
}

func (l *lifetime) noteState(conn net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state == http.StateNew {
		l.unused[conn] = struct{}{}
		return
	}
	delete(l.unused, conn)
}

// shutdown closes the listeners and waits for the requests in flight. It closes
// the connections that carried none yet, for which net/http would wait.
func (l *lifetime) shutdown(ctx context.Context) error {
	l.mutex.Lock()
	l.closed = true
	servers := slices.Clone(l.servers)
	l.mutex.Unlock()
	ended := make(chan error, len(servers))
	for _, server := range servers {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	l.closeUnused()
	var problems []error
	for range servers {
		problems = append(problems, <-ended)
	}
	return errors.Join(problems...)
}

func (l *lifetime) closeUnused() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.unused {
		_ = conn.Close()
	}
}

func (l *lifetime) close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	l.cancel()
	var problems []error
	for _, server := range l.servers {
		problems = append(problems, server.Close())
	}
	return errors.Join(problems...)
}
