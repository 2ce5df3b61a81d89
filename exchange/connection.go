package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banksail/banksail/internal/usertimeout"
)

const (
	// readBuffer is the size of a connection's buffer.
	readBuffer = 2 << 10
	// inlineWrite is the size up to which a request is written before its answer
	// is read; a longer one might block until the server answers.
	inlineWrite = 16 << 10
	// maximumSurplus is the number of answers to other requests that are passed over.
	maximumSurplus = 2
	// maximumInterim bounds the interim answers before a final one.
	maximumInterim = 4
	// silence is how long a server may leave sent bytes unacknowledged: many round trips
	// and some lost packets. A connection that has gone silent without a reset, while new
	// ones work, is shown by nothing else.
	silence = 600 * time.Millisecond
	// forever stands for a server that names no time.
	forever = time.Duration(math.MaxInt64)
	// keepAliveMargin is how much before the server a connection is closed.
	keepAliveMargin = 500 * time.Millisecond
)

// connection carries one request at a time.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	// idleSince and keepFor bound how long it may rest.
	idleSince time.Time
	keepFor   time.Duration
	// reusable says that the last answer left the connection clean.
	reusable  bool
	closeOnce sync.Once
	// raw is the operating system's side of the connection; nil is none. peeked is what
	// peek found there last.
	raw    syscall.RawConn
	peeked bool
	peek   func(descriptor uintptr) bool
	first  [1]byte // of what peek found
	// asked tells the parser of answers the method that was asked with.
	asked http.Request
}

func newConnection(conn net.Conn) *connection {
	_ = usertimeout.Set(conn, silence) // without it, silence is left to the attempts' deadlines
	c := &connection{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), keepFor: forever}
	if described, ok := conn.(syscall.Conn); ok {
		c.raw, _ = described.SyscallConn() // without it, what comes between answers is seen with the next one
	}
	c.peek = c.peekAt
	return c
}

// bound ends reading and writing at a time; the zero time is none.
func (c *connection) bound(deadline time.Time) { _ = c.conn.SetDeadline(deadline) } // a closed connection fails anyway

func (c *connection) close() { c.closeOnce.Do(func() { _ = c.conn.Close() }) }

// quiet reports whether nothing has come on an idle connection: neither an end
// nor bytes, which would belong to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.peeked = false
	return c.raw.Read(c.peek) == nil && c.peeked
}

// peekAt looks whether nothing has come, neither bytes nor an end.
func (c *connection) peekAt(descriptor uintptr) bool {
	_, _, err := unix.Recvfrom(int(descriptor), c.first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.peeked = err == unix.EAGAIN
	return true
}

// exchange writes the request and reads its answer.
func (c *connection) exchange(a *Attempt, encoded []byte, options Options) (*Reply, error) {
	c.reusable = false
	length, wrote, err := c.write(encoded)
	if err != nil {
		if length == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotDelivered, err)
		}
		return nil, fmt.Errorf("%w: writing: %w", ErrOutcomeUnknown, err)
	}
	reply, keep, err := c.readAnswer(a, options)
	if err != nil {
		return nil, err
	}
	c.reusable = keep && written(wrote) && c.reader.Buffered() == 0
	return reply, nil
}

// written reports whether the whole request was written. Where the answer came before
// that, the rest of the request would be taken for another one.
func written(wrote <-chan error) bool {
	if wrote == nil {
		return true
	}
	select {
	case err := <-wrote:
		return err == nil
	default:
		return false
	}
}

// write writes the request, a long one in the background: its end is told on wrote, which
// is nil for a short one.
func (c *connection) write(encoded []byte) (length int, wrote <-chan error, err error) {
	if len(encoded) <= inlineWrite {
		length, err = c.conn.Write(encoded)
		return length, nil, err
	}
	end := make(chan error, 1)
	go func() {
		_, err := c.conn.Write(encoded)
		end <- err
	}()
	return len(encoded), end, nil
}

// readAnswer reads answers until the one to the attempt.
func (c *connection) readAnswer(a *Attempt, options Options) (reply *Reply, keep bool, err error) {
	surplus := 0
	for {
		reply, keep, err = c.readOne(a, options)
		if err != nil {
			return nil, false, err
		}
		if !options.Headers.isSurplus(reply.Header, a.Request.AttemptID) {
			return reply, keep && surplus == 0, nil
		}
		surplus++
		if !keep || surplus > maximumSurplus {
			return nil, false, fmt.Errorf("%w: it belongs to another request", ErrMalformed)
		}
	}
}

// readOne reads one whole answer; keep says that another may follow.
func (c *connection) readOne(a *Attempt, options Options) (reply *Reply, keep bool, err error) {
	response, err := c.readHeader(a.Request.Method)
	if err != nil {
		return nil, false, err
	}
	body, err := readBody(response, options.MaxBodyBytes)
	if err != nil {
		return nil, false, err
	}
	c.takeKeepAlive(response.Header)
	keep = !response.Close
	header := response.Header
	StripHopByHopHeaders(header)
	return &Reply{Status: response.StatusCode, Header: header, Body: body}, keep, nil
}

// readHeader reads the header of the next final answer.
func (c *connection) readHeader(method string) (*http.Response, error) {
	if _, err := c.reader.Peek(1); wentAway(err) {
		return nil, fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, ErrConnectionLost, err)
	}
	for range maximumInterim {
		c.asked.Method = method
		response, err := http.ReadResponse(c.reader, &c.asked)
		switch {
		case err != nil && isTransport(err):
			return nil, fmt.Errorf("%w: reading the answer: %w", ErrOutcomeUnknown, err)
		case err != nil:
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: it switches protocols", ErrMalformed)
		}
	}
	return nil, fmt.Errorf("%w: too many interim answers", ErrMalformed)
}

// wentAway reports whether the other side ended the connection, by itself or by a reset.
func wentAway(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTransport(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &network)
}

func readBody(response *http.Response, most int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > most {
		return nil, fmt.Errorf("%w: its body has %d bytes, more than %d", ErrMalformed, response.ContentLength, most)
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, fmt.Errorf("%w: reading the body: %w", ErrOutcomeUnknown, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: reading the body: %w", ErrOutcomeUnknown, err)
	case int64(len(body)) > most:
		return nil, fmt.Errorf("%w: its body has more than %d bytes", ErrMalformed, most)
	default:
		return body, nil
	}
}

// takeKeepAlive notes how long the server keeps the connection.
func (c *connection) takeKeepAlive(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.keepFor = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}
