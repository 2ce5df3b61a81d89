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
	// readBufferSize is the size of a connection's buffer.
	readBufferSize = 2 << 10
	// maxInlineWrite is the size up to which a request is written before its answer
	// is read; a longer one might block until the server answers.
	maxInlineWrite = 16 << 10
	// maxStrayReplies is the number of answers to other requests that are passed over.
	maxStrayReplies = 2
	// maxInterimResponses bounds the interim answers before a final one.
	maxInterimResponses = 4
	// unacknowledgedTimeout is how long a server may leave sent bytes unacknowledged: many round trips
	// and some lost packets. A connection that has gone silent without a reset, while new
	// ones work, is shown by nothing else.
	unacknowledgedTimeout = 600 * time.Millisecond
	// unlimitedKeepAlive stands for a server that names no time.
	unlimitedKeepAlive = time.Duration(math.MaxInt64)
	// keepAliveMargin is how much before the server a connection is closed.
	keepAliveMargin = 500 * time.Millisecond
)

// connection carries one request at a time.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	// idleSince and keepAlive bound how long it may rest.
	idleSince time.Time
	keepAlive time.Duration
	// reusable says that the last answer left the connection clean.
	reusable  bool
	closeOnce sync.Once
	// rawConn is the operating system's side of the connection; nil is none. peeked is what
	// peek found there last.
	rawConn         syscall.RawConn
	nothingReceived bool
	peekFunc        func(descriptor uintptr) bool
	peekBuffer      [1]byte // of what peek found
	// parsedFor tells the parser of answers the method that was asked with.
	parsedFor http.Request
}

func newConnection(conn net.Conn) *connection {
	_ = usertimeout.Set(conn, unacknowledgedTimeout) // without it, silence is left to the attempts' deadlines
	c := &connection{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), keepAlive: unlimitedKeepAlive}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = syscallConn.SyscallConn() // without it, what comes between answers is seen with the next one
	}
	c.peekFunc = c.peekDescriptor
	return c
}

// setDeadline ends reading and writing at a time; the zero time is none.
func (c *connection) setDeadline(deadline time.Time) { _ = c.conn.SetDeadline(deadline) } // a closed connection fails anyway

func (c *connection) close() { c.closeOnce.Do(func() { _ = c.conn.Close() }) }

// isUsable reports whether nothing has come on an idle connection: neither an end
// nor bytes, which would belong to no request.
func (c *connection) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	c.nothingReceived = false
	return c.rawConn.Read(c.peekFunc) == nil && c.nothingReceived
}

// peekDescriptor looks whether nothing has come, neither bytes nor an end.
func (c *connection) peekDescriptor(descriptor uintptr) bool {
	_, _, err := unix.Recvfrom(int(descriptor), c.peekBuffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.nothingReceived = err == unix.EAGAIN
	return true
}

// exchange writes the request and reads its answer.
func (c *connection) exchange(a *Attempt, encoded []byte, options Options) (*Reply, error) {
	c.reusable = false
	length, writeDone, err := c.write(encoded)
	if err != nil {
		if length == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotDelivered, err)
		}
		return nil, fmt.Errorf("%w: writing: %w", ErrOutcomeUnknown, err)
	}
	reply, keepOpen, err := c.readReply(a, options)
	if err != nil {
		return nil, err
	}
	c.reusable = keepOpen && writeSucceeded(writeDone) && c.reader.Buffered() == 0
	return reply, nil
}

// writeSucceeded reports whether the whole request was written. Where the answer came before
// that, the rest of the request would be taken for another one.
func writeSucceeded(done <-chan error) bool {
	if done == nil {
		return true
	}
	select {
	case err := <-done:
		return err == nil
	default:
		return false
	}
}

// write writes the request, a long one in the background: its end is told on wrote, which
// is nil for a short one.
func (c *connection) write(encoded []byte) (length int, done <-chan error, err error) {
	if len(encoded) <= maxInlineWrite {
		length, err = c.conn.Write(encoded)
		return length, nil, err
	}
	result := make(chan error, 1)
	go func() {
		_, err := c.conn.Write(encoded)
		result <- err
	}()
	return len(encoded), result, nil
}

// readReply reads answers until the one to the attempt.
func (c *connection) readReply(a *Attempt, options Options) (reply *Reply, keepOpen bool, err error) {
	strays := 0
	for {
		reply, keepOpen, err = c.readNextReply(a, options)
		if err != nil {
			return nil, false, err
		}
		if !options.Headers.isStray(reply.Header, a.Request.AttemptID) {
			return reply, keepOpen && strays == 0, nil
		}
		strays++
		if !keepOpen || strays > maxStrayReplies {
			return nil, false, fmt.Errorf("%w: it belongs to another request", ErrMalformed)
		}
	}
}

// readNextReply reads one whole answer; keep says that another may follow.
func (c *connection) readNextReply(a *Attempt, options Options) (reply *Reply, keepOpen bool, err error) {
	response, err := c.readHeader(a.Request.Method)
	if err != nil {
		return nil, false, err
	}
	body, err := readBody(response, options.MaxBodyBytes)
	if err != nil {
		return nil, false, err
	}
	c.updateKeepAlive(response.Header)
	keepOpen = !response.Close
	header := response.Header
	StripHopByHopHeaders(header)
	return &Reply{Status: response.StatusCode, Header: header, Body: body}, keepOpen, nil
}

// readHeader reads the header of the next final answer.
func (c *connection) readHeader(method string) (*http.Response, error) {
	if _, err := c.reader.Peek(1); isDisconnect(err) {
		return nil, fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, ErrConnectionLost, err)
	}
	for range maxInterimResponses {
		c.parsedFor.Method = method
		response, err := http.ReadResponse(c.reader, &c.parsedFor)
		switch {
		case err != nil && isTransportError(err):
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

// isDisconnect reports whether the other side ended the connection, by itself or by a reset.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTransportError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &netErr)
}

func readBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > limit {
		return nil, fmt.Errorf("%w: its body has %d bytes, more than %d", ErrMalformed, response.ContentLength, limit)
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, fmt.Errorf("%w: reading the body: %w", ErrOutcomeUnknown, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: reading the body: %w", ErrOutcomeUnknown, err)
	case int64(len(body)) > limit:
		return nil, fmt.Errorf("%w: its body has more than %d bytes", ErrMalformed, limit)
	default:
		return body, nil
	}
}

// updateKeepAlive notes how long the server keeps the connection.
func (c *connection) updateKeepAlive(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.keepAlive = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
}
