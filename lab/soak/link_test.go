package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// newEcho starts a server that returns the bytes it receives.
func newEcho(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

const (
	linkTimeout = 5 * time.Second
	// noAnswerTimeout is the time to wait for an answer that must not come.
	noAnswerTimeout = 100 * time.Millisecond
)

// echoWord sends a word over a connection and reads it back.
func echoWord(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte("word")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len("word")))
	return err
}

// A link must inject the faults of its state, pass the bytes that it held back once the state is
// cleared, and work again after resets and a change of target.
func TestLinkInjectsFaults(t *testing.T) {
	l, err := newLink(loopback, newEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	conn := dial()
	if err := echoWord(conn, linkTimeout); err != nil {
		t.Fatalf("link without faults: %v", err)
	}
	for name, state := range map[string]linkState{"silent": {silent: true}, "one way": {oneWay: true}} {
		l.set(state)
		if err := echoWord(conn, noAnswerTimeout); err == nil {
			t.Errorf("%s: got an answer, want none", name)
		}
		l.set(linkState{})
		_ = conn.SetDeadline(time.Now().Add(linkTimeout))
		if _, err := io.ReadFull(conn, make([]byte, len("word"))); err != nil {
			t.Errorf("%s: the held-back answer did not arrive after the link recovered: %v", name, err)
		}
	}
	for name, state := range map[string]linkState{"slow": {delay: noAnswerTimeout / 2}, "dripping": {trickle: true}} {
		l.set(state)
		startedAt := time.Now()
		if err := echoWord(conn, linkTimeout); err != nil || time.Since(startedAt) < tricklePause {
			t.Errorf("%s: got error %v after %s; want an answer after a delay", name, err, time.Since(startedAt))
		}
	}
	l.set(linkState{reset: true})
	if err := echoWord(conn, linkTimeout); err == nil {
		t.Error("got an answer over a connection that was reset")
	}
	if newConn, err := net.Dial("tcp", l.address()); err == nil { // the reset may come while the connection is opened
		if err := echoWord(newConn, linkTimeout); err == nil {
			t.Error("got an answer over a new connection of a link that resets connections")
		}
		_ = newConn.Close()
	}
	l.set(linkState{})
	l.retarget(newEcho(t))
	if err := echoWord(dial(), linkTimeout); err != nil {
		t.Errorf("after the link recovered and changed its target: %v", err)
	}
}
