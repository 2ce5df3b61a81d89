package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
)

var testHeaders = exchange.Headers{
	AttemptID: "Attempt", Remaining: "Remaining", ExpectedServer: "Expected", Stamp: "Stamp", NotExecuted: "Not-Executed", Load: "Load",
}

// scriptedReply answers the requests of one connection, one after the other.
type scriptedReply func(request *http.Request, conn net.Conn)

// dialScript opens connections to a script after the given time; opened counts them.
func dialScript(dialTime time.Duration, reply scriptedReply, dials *int) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(dialTime)
		*dials++
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			reader := bufio.NewReader(server)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				reply(request, server)
			}
		}()
		return client, nil
	}
}

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// replyTo is a good answer to the attempt.
func replyTo(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody"
}

func newAttempt(id string, remaining time.Duration) *exchange.Attempt {
	return &exchange.Attempt{
		Request:   &exchange.Request{Method: http.MethodGet, Target: "/a%2fb?c=%20", Host: "h.example", Header: http.Header{"Attempt": {id}}, AttemptID: id},
		Server:    discovery.Server{ID: "server-1", Address: "x"},
		Remaining: remaining,
	}
}

// A server is told the time that remains when the request leaves, not that
// which remained before its connection was opened.
func TestRemainingTimeExcludesDialTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remaining, dials := "", 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(200*time.Millisecond, func(request *http.Request, conn net.Conn) {
			remaining = request.Header.Get("Remaining")
			write(conn, replyTo("one"))
		}, &dials)})
		if _, err := client.Do(newAttempt("one", time.Second)); err != nil {
			t.Fatal(err)
		}
		if milliseconds, err := strconv.Atoi(remaining); err != nil || milliseconds != 800 {
			t.Errorf("the server was told that %q ms remain, want 800", remaining)
		}
		client.PruneIdle(nil, 0)
	})
}

// One connection carries one request after the other, and nothing is sent twice.
func TestConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials, requests := 0, 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
			requests++
			write(conn, replyTo(request.Header.Get("Attempt")))
		}, &dials)})
		for number := range 5 {
			reply, err := client.Do(newAttempt("try-"+strconv.Itoa(number), time.Second))
			if err != nil || string(reply.Body) != "body" {
				t.Fatal(reply, err)
			}
		}
		if dials != 1 || requests != 5 {
			t.Errorf("%d connections carried %d requests, want 1 and 5", dials, requests)
		}
		client.PruneIdle(nil, 0)
	})
}

func TestInvalidReplies(t *testing.T) {
	for name, test := range map[string]struct {
		reply string
		want  error
	}{
		"closed without a word":     {"", exchange.ErrOutcomeUnknown},
		"body ends early":           {"HTTP/1.1 200 OK\r\nAttempt: one\r\nContent-Length: 10\r\n\r\nbody", exchange.ErrOutcomeUnknown},
		"chunks end early":          {"HTTP/1.1 200 OK\r\nAttempt: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", exchange.ErrOutcomeUnknown},
		"not HTTP":                  {"hello\r\n\r\n", exchange.ErrMalformed},
		"answer to another request": {replyTo("other") + replyTo("other") + replyTo("other"), exchange.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials, requests := 0, 0
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
					requests++
					write(conn, test.reply)
					_ = conn.Close()
				}, &dials)})
				if _, err := client.Do(newAttempt("one", time.Second)); !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if requests != 1 {
					t.Errorf("the request was sent %d times", requests)
				}
			})
		})
	}
}

// A late answer to an earlier request is passed over, and its connection is not
// used again.
func TestStrayReplyIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
			write(conn, replyTo("earlier")+replyTo(request.Header.Get("Attempt")))
		}, &dials)})
		for _, id := range []string{"one", "two"} {
			reply, err := client.Do(newAttempt(id, time.Second))
			if err != nil || reply.Header.Get("Attempt") != id {
				t.Fatal(reply, err)
			}
		}
		if dials != 2 {
			t.Errorf("%d connections were opened, want 2", dials)
		}
	})
}

// A server that falls silent costs no more than the time that remained.
func TestSilentServerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(*http.Request, net.Conn) {}, &dials)})
		start := time.Now()
		if _, err := client.Do(newAttempt("one", 300*time.Millisecond)); !errors.Is(err, exchange.ErrOutcomeUnknown) {
			t.Errorf("got %v", err)
		}
		if elapsed := time.Since(start); elapsed != 300*time.Millisecond {
			t.Errorf("it took %s", elapsed)
		}
		if client.ConnectionCount() != 0 {
			t.Errorf("%d connections are left", client.ConnectionCount())
		}
	})
}

// A connection that the server ends before a byte of an answer is told from one that is
// silent, cut off in an answer, or closed by the node itself.
func TestLostConnections(t *testing.T) {
	cases := map[string]struct {
		reply  scriptedReply
		cancel bool
		lost   bool
	}{
		"ended": {reply: func(_ *http.Request, conn net.Conn) { _ = conn.Close() }, lost: true},
		"cut off in the answer": {reply: func(_ *http.Request, conn net.Conn) {
			write(conn, "HTTP/1.1 200")
			_ = conn.Close()
		}},
		"silent":    {reply: func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) }},
		"cancelled": {reply: func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) }, cancel: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, test.reply, &dials)})
				attempt := newAttempt("one", time.Second)
				if test.cancel {
					time.AfterFunc(100*time.Millisecond, attempt.Cancel)
				}
				_, err := client.Do(attempt)
				if !errors.Is(err, exchange.ErrOutcomeUnknown) || errors.Is(err, exchange.ErrConnectionLost) != test.lost {
					t.Errorf("%v, want a lost connection: %v", err, test.lost)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

func TestHasCrashed(t *testing.T) {
	for dialErr, crashed := range map[error]bool{syscall.ECONNREFUSED: true, syscall.ECONNRESET: true, syscall.EHOSTUNREACH: false, nil: false} {
		clientConn, serverConn := net.Pipe()
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: func(context.Context, string, string) (net.Conn, error) {
			if dialErr != nil {
				return nil, &net.OpError{Op: "dial", Err: dialErr}
			}
			return clientConn, nil
		}})
		if got := client.HasCrashed(discovery.Server{ID: "server-1"}); got != crashed {
			t.Errorf("%v: ended %v, want %v", dialErr, got, crashed)
		}
		client.PruneIdle(nil, 0)
		_, _ = clientConn.Close(), serverConn.Close()
	}
}
