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

// script answers the requests of one connection, one after the other.
type script func(request *http.Request, conn net.Conn)

// dialScript opens connections to a script after the given time; opened counts them.
func dialScript(after time.Duration, answer script, opened *int) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(after)
		*opened++
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			reader := bufio.NewReader(far)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				answer(request, far)
			}
		}()
		return near, nil
	}
}

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// answerTo is a good answer to the attempt.
func answerTo(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody"
}

func attempt(id string, remaining time.Duration) *exchange.Attempt {
	return &exchange.Attempt{
		Request:   &exchange.Request{Method: http.MethodGet, Target: "/a%2fb?c=%20", Host: "h.example", Header: http.Header{"Attempt": {id}}, AttemptID: id},
		Server:    discovery.Server{ID: "server-1", Address: "x"},
		Remaining: remaining,
	}
}

// A server is told the time that remains when the request leaves, not that
// which remained before its connection was opened.
func TestRemainingCountsTheOpeningOfTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told, opened := "", 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(200*time.Millisecond, func(request *http.Request, conn net.Conn) {
			told = request.Header.Get("Remaining")
			write(conn, answerTo("one"))
		}, &opened)})
		if _, err := client.Do(attempt("one", time.Second)); err != nil {
			t.Fatal(err)
		}
		if milliseconds, err := strconv.Atoi(told); err != nil || milliseconds != 800 {
			t.Errorf("the server was told that %q ms remain, want 800", told)
		}
		client.PruneIdle(nil, 0)
	})
}

// One connection carries one request after the other, and nothing is sent twice.
func TestConnectionIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opened, requests := 0, 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
			requests++
			write(conn, answerTo(request.Header.Get("Attempt")))
		}, &opened)})
		for number := range 5 {
			reply, err := client.Do(attempt("try-"+strconv.Itoa(number), time.Second))
			if err != nil || string(reply.Body) != "body" {
				t.Fatal(reply, err)
			}
		}
		if opened != 1 || requests != 5 {
			t.Errorf("%d connections carried %d requests, want 1 and 5", opened, requests)
		}
		client.PruneIdle(nil, 0)
	})
}

func TestAnswersAtFault(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   error
	}{
		"closed without a word":     {"", exchange.ErrOutcomeUnknown},
		"body ends early":           {"HTTP/1.1 200 OK\r\nAttempt: one\r\nContent-Length: 10\r\n\r\nbody", exchange.ErrOutcomeUnknown},
		"chunks end early":          {"HTTP/1.1 200 OK\r\nAttempt: one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", exchange.ErrOutcomeUnknown},
		"not HTTP":                  {"hello\r\n\r\n", exchange.ErrMalformed},
		"answer to another request": {answerTo("other") + answerTo("other") + answerTo("other"), exchange.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened, requests := 0, 0
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
					requests++
					write(conn, test.answer)
					_ = conn.Close()
				}, &opened)})
				if _, err := client.Do(attempt("one", time.Second)); !errors.Is(err, test.want) {
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
func TestSurplusAnswerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opened := 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
			write(conn, answerTo("earlier")+answerTo(request.Header.Get("Attempt")))
		}, &opened)})
		for _, id := range []string{"one", "two"} {
			reply, err := client.Do(attempt(id, time.Second))
			if err != nil || reply.Header.Get("Attempt") != id {
				t.Fatal(reply, err)
			}
		}
		if opened != 2 {
			t.Errorf("%d connections were opened, want 2", opened)
		}
	})
}

// A server that falls silent costs no more than the time that remained.
func TestSilenceEndsWithTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opened := 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(*http.Request, net.Conn) {}, &opened)})
		began := time.Now()
		if _, err := client.Do(attempt("one", 300*time.Millisecond)); !errors.Is(err, exchange.ErrOutcomeUnknown) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(began); took != 300*time.Millisecond {
			t.Errorf("it took %s", took)
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
		answer script
		cancel bool
		lost   bool
	}{
		"ended": {answer: func(_ *http.Request, conn net.Conn) { _ = conn.Close() }, lost: true},
		"cut off in the answer": {answer: func(_ *http.Request, conn net.Conn) {
			write(conn, "HTTP/1.1 200")
			_ = conn.Close()
		}},
		"silent":    {answer: func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) }},
		"cancelled": {answer: func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) }, cancel: true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened := 0
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, one.answer, &opened)})
				sent := attempt("one", time.Second)
				if one.cancel {
					time.AfterFunc(100*time.Millisecond, sent.Cancel)
				}
				_, err := client.Do(sent)
				if !errors.Is(err, exchange.ErrOutcomeUnknown) || errors.Is(err, exchange.ErrConnectionLost) != one.lost {
					t.Errorf("%v, want a lost connection: %v", err, one.lost)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

func TestHasEnded(t *testing.T) {
	for refusal, ended := range map[error]bool{syscall.ECONNREFUSED: true, syscall.ECONNRESET: true, syscall.EHOSTUNREACH: false, nil: false} {
		near, far := net.Pipe()
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: func(context.Context, string, string) (net.Conn, error) {
			if refusal != nil {
				return nil, &net.OpError{Op: "dial", Err: refusal}
			}
			return near, nil
		}})
		if got := client.HasCrashed(discovery.Server{ID: "server-1"}); got != ended {
			t.Errorf("%v: ended %v, want %v", refusal, got, ended)
		}
		client.PruneIdle(nil, 0)
		_, _ = near.Close(), far.Close()
	}
}
