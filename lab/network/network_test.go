package network

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
)

// openConnection opens a connection from A to B and returns both ends.
func openConnection(t *testing.T, n *Network) (near, far net.Conn) {
	t.Helper()
	a, errA := n.Start(hostA)
	b, errB := n.Start(hostB)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	l, err := b.Listen(hostB + ":80")
	if err != nil {
		t.Fatal(err)
	}
	near, err = a.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return near, far
}

func readWithTimeout(c net.Conn, wait time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(wait))
	buffer := make([]byte, 64)
	count, err := c.Read(buffer)
	return string(buffer[:count]), err
}

func TestConnectionUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(n *Network)
		repair func(n *Network)
		// during and after are the errors that B's read returns while the fault
		// lasts and after repair; nil means that the data arrived.
		during, after error
	}{
		{name: "no fault", fault: func(*Network) {}},
		{name: "way there cut, then healed", during: os.ErrDeadlineExceeded,
			fault: func(n *Network) { n.Cut(hostA, hostB) }, repair: func(n *Network) { n.Heal(hostA, hostB) }},
		{name: "way back cut", fault: func(n *Network) { n.Cut(hostB, hostA) }},
		{name: "slow link", during: os.ErrDeadlineExceeded,
			fault: func(n *Network) { n.Slow(hostA, hostB, 5*time.Second) }, repair: func(*Network) {}},
		{name: "sender killed", during: syscall.ECONNRESET, after: syscall.ECONNRESET,
			fault: func(n *Network) { n.Kill(hostA, KillReset) }, repair: func(*Network) {}},
		{name: "sender vanished", during: os.ErrDeadlineExceeded, after: os.ErrDeadlineExceeded,
			fault: func(n *Network) { n.Kill(hostA, KillVanish) }, repair: func(*Network) {}},
		{name: "reset between", during: syscall.ECONNRESET, after: syscall.ECONNRESET,
			fault: func(n *Network) { n.ResetConnections(hostB, hostA) }, repair: func(*Network) {}},
		{name: "sender frozen, then thawed", during: os.ErrDeadlineExceeded,
			fault: func(n *Network) { n.Freeze(hostA) }, repair: func(n *Network) { n.Thaw(hostA) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(Options{Seed: 1})
				near, far := openConnection(t, n)
				test.fault(n)
				go near.Write([]byte("hello"))
				_, err := readWithTimeout(far, time.Second)
				if !errors.Is(err, test.during) {
					t.Fatalf("during the fault: %v, want %v", err, test.during)
				}
				if test.repair != nil {
					test.repair(n)
					if _, err := readWithTimeout(far, 10*time.Second); !errors.Is(err, test.after) {
						t.Fatalf("after the fault: %v, want %v", err, test.after)
					}
				}
				near.Close()
				far.Close()
			})
		})
	}
}

func TestFrozenReaderNoticesDeadlineOnlyAfterThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		_, far := openConnection(t, n)
		n.Freeze(hostB)
		start := time.Now()
		time.AfterFunc(3*time.Second, func() { n.Thaw(hostB) })
		_, err := readWithTimeout(far, time.Second)
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) != 3*time.Second {
			t.Fatalf("read returned %v after %v, want a deadline error after 3s", err, time.Since(start))
		}
	})
}

func TestFrozenReaderNoticesResetAfterThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		_, far := openConnection(t, n)
		n.Freeze(hostB)
		time.AfterFunc(time.Second, func() { n.ResetConnections(hostA, hostB) })
		time.AfterFunc(2*time.Second, func() { n.Thaw(hostB) })
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read: %v", err)
		}
	})
}

func TestWriteAfterPeerClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		near, far := openConnection(t, n)
		far.Close()
		if _, err := near.Write([]byte("x")); err != nil {
			t.Fatalf("write before the close has arrived: %v", err)
		}
		time.Sleep(time.Second)
		if _, err := near.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Fatalf("write after the close has arrived: %v, want EPIPE", err)
		}
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("read: %v", err)
		}
	})
}

func TestRestartedMachineResetsOldConnections(t *testing.T) {
	tests := []struct {
		name       string
		writeAfter time.Duration
	}{
		{"sent while it was away", 0},
		{"sent once it is back", 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(Options{})
				near, _ := openConnection(t, n)
				n.Kill(hostB, KillVanish)
				time.AfterFunc(time.Second, func() { n.Start(hostB) })
				time.AfterFunc(test.writeAfter, func() { near.Write([]byte("x")) })
				if _, err := readWithTimeout(near, 5*time.Second); !errors.Is(err, syscall.ECONNRESET) {
					t.Fatalf("read: %v", err)
				}
			})
		})
	}
}

func TestFullBufferBlocksWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		near, far := openConnection(t, n)
		data := bytes.Repeat([]byte("x"), 3*bufferLimit)
		near.SetWriteDeadline(time.Now().Add(time.Second))
		count, err := near.Write(data)
		if count != bufferLimit || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("wrote %d bytes with error %v", count, err)
		}
		near.SetWriteDeadline(time.Time{})
		go func() {
			near.Write(data[count:])
			near.Close()
		}()
		got, err := io.ReadAll(far)
		if err != nil || len(got) != len(data) {
			t.Fatalf("read %d bytes with error %v", len(got), err)
		}
	})
}

func TestDial(t *testing.T) {
	tests := []struct {
		name   string
		setUp  func(n *Network)
		repair func(n *Network)
		err    error
	}{
		{name: "nobody listens", setUp: func(n *Network) { n.Start(hostB) }, err: syscall.ECONNREFUSED},
		{name: "no process", setUp: func(*Network) {}, err: syscall.ECONNREFUSED},
		{name: "vanished", setUp: func(n *Network) { n.Start(hostB); n.Kill(hostB, KillVanish) }, err: os.ErrDeadlineExceeded},
		{name: "cut back", setUp: func(n *Network) { listenB(n); n.Cut(hostB, hostA) }, err: os.ErrDeadlineExceeded},
		{name: "cut there, healed", setUp: func(n *Network) { listenB(n); n.Cut(hostA, hostB) },
			repair: func(n *Network) { n.Heal(hostA, hostB) }},
		{name: "frozen host still completes the handshake", setUp: func(n *Network) { listenB(n); n.Freeze(hostB) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(Options{})
				a, _ := n.Start(hostA)
				test.setUp(n)
				if test.repair != nil {
					time.AfterFunc(time.Second, func() { test.repair(n) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := a.DialContext(ctx, "tcp", hostB+":80")
				if !errors.Is(err, test.err) {
					t.Fatalf("dial returned %v, want %v", err, test.err)
				}
			})
		})
	}
}

func listenB(n *Network) {
	b, _ := n.Start(hostB)
	b.Listen(hostB + ":80")
}

func TestKilledProcessFailsAndHostRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{})
		old, _ := n.Start(hostA)
		if _, err := n.Start(hostA); !errors.Is(err, ErrRunning) {
			t.Fatalf("second start: %v, want ErrRunning", err)
		}
		old.Listen(":80")
		n.Kill(hostA, KillReset)
		if _, err := old.Listen(":81"); !errors.Is(err, ErrProcessKilled) {
			t.Fatalf("listen: %v, want ErrProcessKilled", err)
		}
		if _, err := old.DialContext(t.Context(), "tcp", hostB+":80"); !errors.Is(err, ErrProcessKilled) {
			t.Fatalf("dial: %v, want ErrProcessKilled", err)
		}
		restarted, err := n.Start(hostA)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := restarted.Listen(":80"); err != nil {
			t.Fatalf("listen after the restart: %v", err)
		}
	})
}

func TestHTTPOverNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Seed: 7})
		a, _ := n.Start(hostA)
		b, _ := n.Start(hostB)
		l, _ := b.Listen(":8080")
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(w, r.Body)
		})}
		go server.Serve(l)
		transport := &http.Transport{DialContext: a.DialContext}
		client := &http.Client{Transport: transport}
		for range 3 {
			response, err := client.Post("http://"+hostB+":8080/", "text/plain", bytes.NewBufferString("echo"))
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if string(body) != "echo" {
				t.Fatalf("response body is %q, want echo", body)
			}
		}
		transport.CloseIdleConnections()
		if err := server.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
