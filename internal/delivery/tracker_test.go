package delivery

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
)

// newPair returns a counting connection and its remote end.
func newPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	dial := WrapDial(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	conn, err := dial(t.Context(), "tcp", "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	return conn, far
}

// trackOn returns a Tracker whose request was assigned the connection.
func trackOn(t *testing.T, conn net.Conn) *Tracker {
	t.Helper()
	ctx, tracker := Track(t.Context())
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: conn})
	return tracker
}

func TestSealWithoutConnection(t *testing.T) {
	if _, tracker := Track(t.Context()); tracker.Seal() {
		t.Error("Seal reported a write without a connection")
	}
}

func TestSealIgnoresEarlierRequests(t *testing.T) {
	conn, far := newPair(t)
	go io.Copy(io.Discard, far)
	if _, err := conn.Write([]byte("an earlier request")); err != nil {
		t.Fatal(err)
	}
	if trackOn(t, conn).Seal() {
		t.Error("Seal counted the bytes of an earlier request")
	}
}

func TestSealDetectsWrite(t *testing.T) {
	conn, far := newPair(t)
	go io.Copy(io.Discard, far)
	tracker := trackOn(t, conn)
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if !tracker.Seal() {
		t.Error("Seal did not report the written byte")
	}
}

func TestSealInterruptsWriteInProgress(t *testing.T) {
	conn, far := newPair(t)
	tracker := trackOn(t, conn)
	wrote := make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte("two"))
		wrote <- err
	}()
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !tracker.Seal() {
		t.Error("Seal did not report a partial write that the peer had read")
	}
	if err := <-wrote; err == nil {
		t.Error("the write in progress was not interrupted")
	}
}

func TestNoWriteAfterSeal(t *testing.T) {
	conn, _ := newPair(t)
	tracker := trackOn(t, conn)
	if tracker.Seal() {
		t.Error("Seal reported a write although nothing was written")
	}
	if count, err := conn.Write([]byte("late")); count != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("write after Seal returned %d, %v, want 0 and net.ErrClosed", count, err)
	}
	if tracker.Seal() {
		t.Error("the result of Seal changed after a late write")
	}
}

func TestUntrackedConnectionCountsAsWritten(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	if !trackOn(t, near).Seal() {
		t.Error("Seal reported no write for a connection that does not count bytes")
	}
}
