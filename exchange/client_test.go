package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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

// scriptedReply answers one request; it is called for the requests of a connection in order.
type scriptedReply func(request *http.Request, conn net.Conn)

// dialScript returns a dial function whose connections are served by reply. Each dial takes
// dialTime; dials counts them.
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

// replyTo returns a valid reply to the attempt.
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

// The remaining time sent to the server is that at the moment of sending: the time spent on the
// dial is deducted.
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
			t.Errorf("server received a remaining time of %q ms, want 800", remaining)
		}
		client.PruneIdle(nil, 0)
	})
}

// One connection carries consecutive requests, and none is sent twice.
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
					t.Errorf("request was sent %d times, want 1", requests)
				}
			})
		})
	}
}

// Guards against bytes that are no response and are taken for an answer. A status that no RFC knows was taken for
// an interim response: the attempt waited until its deadline, and what followed, such as the body of that
// response, was parsed as the answer. An interim response has no body either. The attempt must fail at once, and
// its connection must be closed.
func TestUnknownStatusesAreNoReplies(t *testing.T) {
	smuggled := replyTo("one")
	replies := map[string]string{
		"interim response with a length":    fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled),
		"interim response of length 0":      "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"interim response in chunks":        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled,
		"switch of protocols":               "HTTP/1.1 101 Switching Protocols\r\n\r\n" + smuggled,
		"unknown status after interim one":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n\r\n" + smuggled,
		"unknown status with another ID":    "HTTP/1.1 600 Trouble\r\nAttempt: other\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"unknown status without any header": "HTTP/1.1 000 \r\n\r\n",
	}
	for _, status := range []string{"000", "001", "012", "099", "+99", "-01", "600", "601", "700", "999", "1000", "20", "2e2", "abc"} {
		head := fmt.Sprintf("HTTP/1.1 %s Trouble\r\nAttempt: one\r\nStamp: s\r\n", status)
		replies["status "+status] = head + "Content-Length: 4\r\n\r\nbody"
		replies["status "+status+", a reply in its body"] = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(smuggled), smuggled)
		replies["status "+status+", without a length"] = head + "\r\n"
	}
	for name, sent := range replies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
					write(conn, sent) // the connection stays open
				}, &dials)})
				start := time.Now()
				reply, err := client.Do(newAttempt("one", time.Second))
				if !errors.Is(err, exchange.ErrMalformed) {
					t.Errorf("got reply %+v, error %v, want ErrMalformed", reply, err)
				}
				if elapsed := time.Since(start); elapsed > 0 {
					t.Errorf("Do took %s", elapsed)
				}
				if client.ConnectionCount() != 0 {
					t.Errorf("%d connections remain open", client.ConnectionCount())
				}
				client.PruneIdle(nil, 0)
			})
		})
	}
}

// Statuses of all known classes are replies, also those that have no name.
func TestStatusesOfKnownClassesAreReplies(t *testing.T) {
	for _, status := range []int{200, 204, 206, 299, 304, 308, 400, 418, 421, 429, 451, 499, 500, 503, 599} {
		synctest.Test(t, func(t *testing.T) {
			dials := 0
			client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
				write(conn, fmt.Sprintf("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 x\r\n\r\nHTTP/1.1 %d x\r\nAttempt: one\r\nContent-Length: 0\r\n\r\n", status))
			}, &dials)})
			reply, err := client.Do(newAttempt("one", time.Second))
			if err != nil || reply.Status != status {
				t.Errorf("status %d: got %+v, %v", status, reply, err)
			}
			client.PruneIdle(nil, 0)
		})
	}
}

// A late reply to an earlier attempt is skipped, and its connection is not reused.
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

// A server that stops responding is waited for no longer than the attempt's remaining time.
func TestSilentServerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(*http.Request, net.Conn) {}, &dials)})
		start := time.Now()
		if _, err := client.Do(newAttempt("one", 300*time.Millisecond)); !errors.Is(err, exchange.ErrOutcomeUnknown) {
			t.Errorf("got error %v, want ErrOutcomeUnknown", err)
		}
		if elapsed := time.Since(start); elapsed != 300*time.Millisecond {
			t.Errorf("Do took %s, want 300ms", elapsed)
		}
		if client.ConnectionCount() != 0 {
			t.Errorf("%d connections remain open, want 0", client.ConnectionCount())
		}
	})
}

// Guards against a crash that nobody looks for. A request that crashed servers after the first byte of their
// replies was never found out, as only a connection that ended before it counted as lost. The server may end
// at any moment of its reply. A server that stays silent and a node that closes the connection itself are no
// such end.
func TestLostConnections(t *testing.T) {
	endAfter := func(sent string) scriptedReply {
		return func(_ *http.Request, conn net.Conn) {
			write(conn, sent)
			_ = conn.Close()
		}
	}
	const head = "HTTP/1.1 200 OK\r\nAttempt: one\r\nStamp: s\r\n"
	cases := map[string]struct {
		reply  scriptedReply
		cancel bool
		lost   bool
	}{
		"before the reply":          {reply: endAfter(""), lost: true},
		"after an interim response": {reply: endAfter("HTTP/1.1 100 Continue\r\n\r\n"), lost: true},
		"in an interim response":    {reply: endAfter("HTTP/1.1 103 Early Hints\r\nLink: x"), lost: true},
		"in the status line":        {reply: endAfter("HTTP/1.1 200"), lost: true},
		"in a header line":          {reply: endAfter(head + "Content-Le"), lost: true},
		"after a header line":       {reply: endAfter(head), lost: true},
		"after the header":          {reply: endAfter(head + "Content-Length: 10\r\n\r\n"), lost: true},
		"in the body":               {reply: endAfter(head + "Content-Length: 10\r\n\r\nbody"), lost: true},
		"in a chunk":                {reply: endAfter(head + "Transfer-Encoding: chunked\r\n\r\n8\r\nbody"), lost: true},
		"after a chunk":             {reply: endAfter(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), lost: true},
		"in the length of a chunk":  {reply: endAfter(head + "Transfer-Encoding: chunked\r\n\r\n4"), lost: true},
		"in the trailer":            {reply: endAfter(head + "Transfer-Encoding: chunked\r\n\r\n0\r\nTrai"), lost: true},
		"after another one's reply": {reply: endAfter(replyTo("other")), lost: true},
		"silent":                    {reply: func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) }},
		"silent in the header":      {reply: func(_ *http.Request, conn net.Conn) { write(conn, head); time.Sleep(2 * time.Second) }},
		"silent in the body": {reply: func(_ *http.Request, conn net.Conn) {
			write(conn, head+"Content-Length: 10\r\n\r\nbody")
			time.Sleep(2 * time.Second)
		}},
		"cancelled": {reply: func(*http.Request, net.Conn) { time.Sleep(2 * time.Second) }, cancel: true},
		"cancelled in the body": {reply: func(_ *http.Request, conn net.Conn) {
			write(conn, head+"Content-Length: 10\r\n\r\nbody")
			time.Sleep(2 * time.Second)
		}, cancel: true},
		"cancelled after interim one": {reply: func(_ *http.Request, conn net.Conn) {
			write(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			time.Sleep(2 * time.Second)
		}, cancel: true},
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
					t.Errorf("got error %v, want ErrConnectionLost: %v", err, test.lost)
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
			t.Errorf("dial error %v: crashed %v, want %v", dialErr, got, crashed)
		}
		client.PruneIdle(nil, 0)
		_, _ = clientConn.Close(), serverConn.Close()
	}
}
