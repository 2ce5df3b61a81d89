//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// requestKind is a kind of request that clients send.
type requestKind struct {
	name, method, prefix string
	repeatable           bool
	deadline             time.Duration
	bodyBytes            int
	// parts names the services that a request is gathered from; empty: one server answers.
	parts    []string
	top      int
	minShare float64
}

const host = "desk.example"

// client sends one request at a time, on a kept connection.
type client struct {
	kind      requestKind
	kinds     []requestKind // if given, kinds that are sent in turn
	addresses func() []string
	log       *journal
	pause     time.Duration // between two requests, on average
	wave      time.Duration // if given, requests are sent at multiples of it, like the other clients'

	address string
	conn    net.Conn
	reader  *bufio.Reader
}

var lastID atomic.Uint64

func nextID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// answer is the complete answer to an attempt; status zero: none.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run sends requests until the end is closed.
func (c *client) run(end <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	defer c.close()
	for sent := 0; ; sent++ {
		select {
		case <-end:
			return
		case <-time.After(c.untilNext()):
		}
		if len(c.kinds) > 0 {
			c.kind = c.kinds[sent%len(c.kinds)]
		}
		c.request()
	}
}

// untilNext returns the time until the next request.
func (c *client) untilNext() time.Duration {
	if c.wave == 0 {
		return time.Duration(rand.ExpFloat64() * float64(c.pause))
	}
	now := time.Now()
	return now.Truncate(c.wave).Add(c.wave).Sub(now)
}

// request sends one request and repeats it once where the protocol allows it.
func (c *client) request() {
	deadline := time.Now().Add(c.kind.deadline)
	got, wait := c.attempt(deadline)
	promise := got.status == 429 || got.status == 503 || got.status == 408 || got.status == 421
	again := promise || c.kind.repeatable && (got.status == 0 || got.status >= 500)
	left := time.Until(deadline)
	if !again || wait > left/3 || left < 50*time.Millisecond {
		return
	}
	time.Sleep(wait)
	c.close()
	c.attempt(deadline)
}

// attempt sends one client attempt and waits for its answer.
func (c *client) attempt(deadline time.Time) (got answer, retryAfter time.Duration) {
	id := nextID()
	path := c.kind.prefix + id[:6]
	body := make([]byte, c.kind.bodyBytes)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	how := "kept"
	if c.conn == nil {
		how = "new"
	}
	if c.conn == nil && !c.connect() {
		c.log.add("noconn", id, c.kind.name, "")
		return answer{}, 100 * time.Millisecond
	}
	left := time.Until(deadline)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.kind.method, path, host, attemptHeader, id, timeoutHeader, left.Milliseconds())
	if c.kind.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.log.add("sent", id, c.kind.name, fmt.Sprintf("%s %s %s to %s, %s connection", c.kind.method, path, digest(body), c.address, how))
	_ = c.conn.SetDeadline(deadline)
	_, err := c.conn.Write(append([]byte(head+"\r\n"), body...))
	if err == nil {
		got, err = c.read()
	}
	if err != nil {
		c.log.add("lost", id, c.kind.name, err.Error())
		c.close()
		return answer{}, 0
	}
	c.log.add("answer", id, c.kind.name, strconv.Itoa(got.status)+" "+checkAnswer(c.kind, id, got))
	if got.header.Get("Connection") == "close" {
		c.close()
	}
	seconds, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	return got, time.Duration(seconds * float64(time.Second))
}

func (c *client) read() (answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return answer{response.StatusCode, response.Header, body}, nil
}

func (c *client) connect() bool {
	known := c.addresses()
	if len(known) == 0 {
		return false
	}
	c.address = known[rand.IntN(len(known))]
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
