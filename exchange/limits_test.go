package exchange_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/exchange"
)

// floodBytes is how much a server that sends without end writes at most. A client with limits
// closes the connection long before.
const floodBytes = 32 << 20

// floodBlock is sent again and again: bytes without a line end are one line that never ends.
var floodBlock = strings.Repeat("x", 64<<10)

// flood writes a prefix and then block after block until the connection is closed. It returns the
// number of bytes that were accepted.
func flood(conn net.Conn, prefix, block string) (written int) {
	for text := prefix; written < floodBytes; text = block {
		count, err := conn.Write([]byte(text))
		written += count
		if err != nil {
			break
		}
	}
	return written
}

// A faulty server may send bytes that are not a reply, without end. Headers were read into memory
// without a limit: 4 in 100 of two servers' replies took each node over its memory limit several
// times a minute, and the requests at other servers were lost with it. The rest of a body that was
// too long was read until the request's deadline.
func TestRepliesWithoutEndAreCutOff(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		start  = status + "Attempt: one\r\nStamp: s\r\n"
	)
	headers := strings.Repeat("Name: value\r\n", 1000)
	long := strings.Repeat("x", exchange.DefaultMaxHeaderBytes*3/4)
	interim := "HTTP/1.1 103 Early Hints\r\nLink: " + long + "\r\n\r\n"
	chunk := "10000\r\n" + floodBlock + "\r\n"
	stray := "HTTP/1.1 200 OK\r\nAttempt: other\r\nLong: " + long + "\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		prefix, block string
		// bodyBytes is the part of the allowed bytes that belongs to a body.
		bodyBytes int
	}{
		"no reply at all":         {prefix: floodBlock, block: floodBlock},
		"status line":             {prefix: "HTTP/1.1 200 ", block: floodBlock},
		"header line":             {prefix: start + "Long: ", block: floodBlock},
		"header lines":            {prefix: start, block: headers},
		"folded header line":      {prefix: start + "Long: x\r\n", block: strings.Repeat(" x\r\n", 1000)},
		"interim responses":       {prefix: interim, block: interim},
		"replies to others":       {prefix: stray, block: stray},
		"chunks":                  {prefix: start + "Transfer-Encoding: chunked\r\n\r\n", block: chunk, bodyBytes: exchange.DefaultMaxBodyBytes},
		"chunk extension":         {prefix: start + "Transfer-Encoding: chunked\r\n\r\n4;", block: floodBlock},
		"trailer line":            {prefix: start + "Transfer-Encoding: chunked\r\n\r\n0\r\nLong: ", block: floodBlock},
		"trailer lines":           {prefix: start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", block: headers},
		"body without a length":   {prefix: start + "Connection: close\r\n\r\n", block: floodBlock, bodyBytes: exchange.DefaultMaxBodyBytes},
		"body longer than limit":  {prefix: start + "Content-Length: 1000000000\r\n\r\n", block: floodBlock},
		"length beyond any limit": {prefix: start + "Content-Length: 99999999999999999999\r\n\r\n", block: floodBlock},
	} {
		t.Run(name, func(t *testing.T) {
			dials := 0
			written := make(chan int, 1)
			client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
				written <- flood(conn, test.prefix, test.block)
				_ = conn.Close()
			}, &dials)})
			if _, err := client.Do(newAttempt("one", time.Minute)); !errors.Is(err, exchange.ErrMalformed) {
				t.Errorf("got error %v, want ErrMalformed", err)
			}
			// The buffer of a connection may hold some bytes more than were parsed.
			const slack = 16 << 10
			if got := <-written; got > exchange.DefaultMaxHeaderBytes+test.bodyBytes+slack {
				t.Errorf("%d bytes were read", got)
			}
			if client.ConnectionCount() != 0 {
				t.Errorf("%d connections remain open, want 0", client.ConnectionCount())
			}
		})
	}
}

// A header of the allowed size is read, whatever follows it.
func TestHeaderWithinLimit(t *testing.T) {
	dials := 0
	client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
		id := request.Header.Get("Attempt")
		head := "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nStamp: s\r\nContent-Length: 4\r\nLong: "
		long := strings.Repeat("x", exchange.DefaultMaxHeaderBytes-len(head)-len("\r\n\r\n"))
		write(conn, head+long+"\r\n\r\nbody")
	}, &dials)})
	for _, id := range []string{"one", "two"} {
		if reply, err := client.Do(newAttempt(id, time.Second)); err != nil || string(reply.Body) != "body" {
			t.Fatal(err)
		}
	}
	if dials != 1 {
		t.Errorf("%d connections were opened, want 1", dials)
	}
	client.PruneIdle(nil, 0)
}

// A server announces long bodies and sends only a little of them: the announced length was
// allocated for each attempt.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	const attempts = 16
	dials := 0
	client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
		write(conn, "HTTP/1.1 200 OK\r\nAttempt: one\r\nStamp: s\r\nContent-Length: "+strconv.Itoa(exchange.DefaultMaxBodyBytes)+"\r\n\r\nbody")
		_ = conn.Close()
	}, &dials)})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range attempts {
		if _, err := client.Do(newAttempt("one", time.Minute)); !errors.Is(err, exchange.ErrOutcomeUnknown) {
			t.Errorf("got error %v, want ErrOutcomeUnknown", err)
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > exchange.DefaultMaxBodyBytes {
		t.Errorf("%d attempts allocated %d bytes", attempts, allocated)
	}
}

// Long bodies of all replies that are in use share one limit. Replies of ordinary length are read
// even when it is reached, and a released reply makes room for another one.
func TestReplyMemoryIsLimited(t *testing.T) {
	const longBody = 1 << 20
	dials := 0
	client := exchange.NewClient(exchange.Options{
		Headers:          testHeaders,
		MaxBufferedBytes: 2 * longBody,
		Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
			id := request.Header.Get("Attempt")
			length := longBody
			if strings.HasPrefix(id, "short") {
				length = 60 << 10
			}
			write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("x", length)))
		}, &dials),
	})
	defer client.PruneIdle(nil, 0)
	send := func(id string) (*exchange.Reply, error) { return client.Do(newAttempt(id, time.Minute)) }
	first, err := send("long-1")
	if err != nil || len(first.Body) != longBody {
		t.Fatal(err)
	}
	second, err := send("long-2")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := send("long-3"); !errors.Is(err, exchange.ErrReplyMemoryExhausted) || !errors.Is(err, exchange.ErrOutcomeUnknown) {
		t.Errorf("got error %v, want ErrReplyMemoryExhausted and ErrOutcomeUnknown", err)
	}
	if _, err := send("short-1"); err != nil {
		t.Errorf("ordinary reply beside long ones: %v", err)
	}
	second.Release()
	second.Release() // has no effect
	third, err := send("long-4")
	if err != nil || len(third.Body) != longBody {
		t.Errorf("after a release: %v", err)
	}
	if _, err := send("long-5"); !errors.Is(err, exchange.ErrReplyMemoryExhausted) {
		t.Errorf("got error %v, want ErrReplyMemoryExhausted", err)
	}
}

// Bytes without end may also come slowly, so that no limit on their number is reached. They must end with the
// attempt's time or its cancellation, and the connection must be closed then.
func TestTrickledRepliesEndWithTheAttempt(t *testing.T) {
	const (
		pause     = 20 * time.Millisecond
		remaining = 2 * time.Second
		start     = "HTTP/1.1 200 OK\r\nAttempt: one\r\nStamp: s\r\n"
		stray     = "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 0\r\n\r\n"
	)
	for name, test := range map[string]struct{ prefix, block string }{
		"no reply at all":       {"", "x"},
		"header line":           {start + "Long: ", "x"},
		"header lines":          {start, "Name: value\r\n"},
		"interim response":      {"HTTP/1.1 103 Early Hints\r\nLink: ", "x"},
		"announced body":        {start + "Content-Length: 100000\r\n\r\n", "x"},
		"body without a length": {start + "Connection: close\r\n\r\n", "x"},
		"chunks":                {start + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer line":          {start + "Transfer-Encoding: chunked\r\n\r\n0\r\nLong: ", "x"},
		"after another's reply": {stray + start + "Long: ", "x"},
	} {
		for _, cancelAfter := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprintf("%s, cancelled after %s", name, cancelAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					dials := 0
					closed := make(chan struct{})
					client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, func(_ *http.Request, conn net.Conn) {
						defer close(closed)
						_, err := conn.Write([]byte(test.prefix))
						for err == nil {
							time.Sleep(pause)
							_, err = conn.Write([]byte(test.block))
						}
					}, &dials)})
					began, want := time.Now(), remaining
					attempt := newAttempt("one", remaining)
					if cancelAfter > 0 {
						want = cancelAfter
						time.AfterFunc(cancelAfter, attempt.Cancel)
					}
					_, err := client.Do(attempt)
					if took := time.Since(began); err == nil || took != want {
						t.Errorf("ended after %s with error %v, want %s", took, err, want)
					}
					<-closed
					if took := time.Since(began); took > want+pause || client.ConnectionCount() != 0 {
						t.Errorf("the connection was closed after %s, %d remain", took, client.ConnectionCount())
					}
				})
			})
		}
	}
}
