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

// limitedListener parts the connections within a limit, whose first read it
// delays, from those above it, which may only carry the fault switches.
type limitedListener struct {
	net.Listener
	limit int
	setup time.Duration
	// above takes the connections above the limit.
	above *handedListener

	// mutex guards open, the number of connections within the limit.
	mutex sync.Mutex
	open  int
}

func newLimitedListener(inner net.Listener, limit int, setup time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: limit, setup: setup, above: newHandedListener(inner.Addr())}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			_ = l.above.Close()
			return nil, err
		}
		if l.enter() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.above.hand(conn)
	}
}

func (l *limitedListener) enter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// limitedConn is one accepted connection.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	first    sync.Once
	closed   sync.Once
}

// Read delays the first read by the setup time.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.first.Do(func() {
		if c.listener.setup > 0 {
			time.Sleep(c.listener.setup)
		}
	})
	return c.Conn.Read(buffer)
}

// Close frees the connection's place.
func (c *limitedConn) Close() error {
	c.closed.Do(c.listener.leave)
	return c.Conn.Close()
}

// handedListener accepts the connections that it is handed.
type handedListener struct {
	address net.Addr
	conns   chan net.Conn
	ended   chan struct{}
	once    sync.Once
}

// handedBound is the number of connections that wait to be accepted; further
// ones are closed.
const handedBound = 16

func newHandedListener(address net.Addr) *handedListener {
	return &handedListener{address: address, conns: make(chan net.Conn, handedBound), ended: make(chan struct{})}
}

func (l *handedListener) hand(conn net.Conn) {
	select {
	case l.conns <- conn:
	default:
		_ = conn.Close()
	}
}

// Accept returns the next connection.
func (l *handedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *handedListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

// Addr is the address of the listener that hands connections over.
func (l *handedListener) Addr() net.Addr {
	return l.address
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
