package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkState holds the faults of a link. Its zero value passes everything unchanged.
type linkState struct {
	// delay is added to each write, in both directions.
	delay time.Duration
	// silent holds back all bytes, and oneWay the bytes to the side that connects. Both leave
	// connections open.
	silent, oneWay bool
	// reset resets all connections, including new ones.
	reset bool
	// trickle passes a few bytes at a time.
	trickle bool
}

const (
	// trickleBytes are passed every tricklePause on a trickling link.
	trickleBytes = 64
	tricklePause = 5 * time.Millisecond
	// linkPollInterval is the time between two checks whether a silent link passes bytes again.
	linkPollInterval = 10 * time.Millisecond
	// linkDialTimeout limits the time to connect to the target, which is on the same machine.
	linkDialTimeout = time.Second
)

// link is a loopback proxy that forwards connections from its own address to a target.
type link struct {
	listener net.Listener

	mutex sync.Mutex
	// mutex guards the fields below.
	target string
	state  linkState
	conns  map[net.Conn]struct{}
	closed bool
}

// newLink returns a link that listens on a free port of the host.
func newLink(host, target string) (*link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return // the link is closed
		}
		go l.serve(near)
	}
}

func (l *link) serve(near net.Conn) {
	if !l.register(near) {
		return
	}
	defer l.closeConnection(near)
	far, err := net.DialTimeout("tcp", l.currentTarget(), linkDialTimeout)
	if err != nil || !l.register(far) {
		return // the near side is closed, as by a dead port
	}
	defer l.closeConnection(far)
	var both sync.WaitGroup
	both.Go(func() { l.copyDirection(near, far, false) })
	both.Go(func() { l.copyDirection(far, near, true) })
	both.Wait()
}

// register adds a connection to the open ones. It returns false if it reset the connection instead.
func (l *link) register(conn net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.reset || l.closed {
		resetConnection(conn)
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *link) closeConnection(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// resetConnection closes a connection so that its peer sees a reset.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copyDirection copies one direction until it ends, and then closes the destination.
func (l *link) copyDirection(from, to net.Conn, isResponse bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16*1024)
	for {
		read, err := from.Read(buffer)
		if read > 0 && !l.write(to, buffer[:read], isResponse) {
			return
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				resetConnection(to)
			}
			return
		}
	}
}

// write forwards bytes as the link's state requires. It returns false if the connection has ended.
func (l *link) write(to net.Conn, data []byte, isResponse bool) bool {
	for len(data) > 0 {
		state, closed := l.currentState()
		switch {
		case closed:
			return false
		case state.silent || state.oneWay && isResponse:
			time.Sleep(linkPollInterval)
			continue
		case state.delay > 0:
			time.Sleep(state.delay)
		}
		chunk := data
		if state.trickle {
			chunk = data[:min(len(data), trickleBytes)]
			time.Sleep(tricklePause)
		}
		if _, err := to.Write(chunk); err != nil {
			return false
		}
		data = data[len(chunk):]
	}
	return true
}

func (l *link) currentState() (state linkState, closed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state, l.closed
}

func (l *link) currentTarget() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.target
}

// retarget changes the link's target and resets its connections.
func (l *link) retarget(target string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.target = target
	l.resetAll()
}

// set changes the link's faults. A reset also applies to open connections.
func (l *link) set(state linkState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = state
	if state.reset {
		l.resetAll()
	}
}

// resetAll resets all connections. The mutex is held.
func (l *link) resetAll() {
	for conn := range l.conns {
		resetConnection(conn)
	}
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	_ = l.listener.Close()
	l.resetAll()
}
