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
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 2 << 10
	// maxInlineWrite is the largest request, in bytes, that is written in full before the reply
	// is read. Writing a larger one could block until the server replies.
	maxInlineWrite = 16 << 10
	// maxStrayReplies is the number of replies to other attempts that are skipped.
	maxStrayReplies = 2
	// maxInterimResponses bounds the 1xx responses before a final one.
	maxInterimResponses = 4
	// maxStatus is the greatest status code of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// unacknowledgedTimeout is how long sent data may remain unacknowledged before the
	// connection fails; it covers many round trips and several lost packets. Nothing else
	// detects a connection that goes silent without a reset while new ones work.
	unacknowledgedTimeout = 600 * time.Millisecond
	// unlimitedKeepAlive is used for servers that announce no keep-alive timeout.
	unlimitedKeepAlive = time.Duration(math.MaxInt64)
	// keepAliveMargin is how long before the server's keep-alive timeout a connection is closed.
	keepAliveMargin = 500 * time.Millisecond
)

// connection is an HTTP/1.1 connection to a server. It carries one request at a time.
type connection struct {
	conn   net.Conn
	source *replyReader // what reader reads from
	reader *bufio.Reader
	// idleSince and keepAlive bound how long the connection may stay idle.
	idleSince time.Time
	keepAlive time.Duration
	// used is set once an attempt has been sent.
	used bool
	// reusable reports whether the last exchange left the connection in a clean state.
	reusable  bool
	closeOnce sync.Once
	// rawConn gives access to the socket; nil if the connection has none. nothingReceived is
	// the result of the last peekFunc.
	rawConn         syscall.RawConn
	nothingReceived bool
	peekFunc        func(descriptor uintptr) bool
	peekBuffer      [1]byte // receives the peeked byte
	// parsedFor carries the request's method to http.ReadResponse, which needs it to tell
	// whether the reply has a body.
	parsedFor http.Request
}

func newConnection(conn net.Conn) *connection {
	_ = usertimeout.Set(conn, unacknowledgedTimeout) // if it fails, only the attempts' deadlines detect a silent connection
	source := &replyReader{conn: conn}
	c := &connection{conn: conn, source: source, reader: bufio.NewReaderSize(source, readBufferSize), keepAlive: unlimitedKeepAlive}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		c.rawConn, _ = syscallConn.SyscallConn() // if it fails, data received while idle is noticed only with the next reply
	}
	c.peekFunc = c.peekDescriptor
	return c
}

// setDeadline sets the deadline of reads and writes; the zero time is none.
func (c *connection) setDeadline(deadline time.Time) { _ = c.conn.SetDeadline(deadline) } // I/O on a closed connection fails anyway

func (c *connection) close() { c.closeOnce.Do(func() { _ = c.conn.Close() }) }

// isUsable reports whether an idle connection is still open and has received no bytes, which
// would not belong to any request.
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

// peekDescriptor sets nothingReceived if the socket has neither data nor an end of file pending.
func (c *connection) peekDescriptor(descriptor uintptr) bool {
	_, _, err := unix.Recvfrom(int(descriptor), c.peekBuffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.nothingReceived = err == unix.EAGAIN
	return true
}

// exchange writes the encoded request and reads the reply to it.
func (c *connection) exchange(a *Attempt, encoded encodedRequest, options Options, memory *replyMemory) (*Reply, error) {
	c.reusable = false
	length, writeDone, err := c.write(encoded)
	if err != nil {
		if length == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotDelivered, err)
		}
		return nil, unknownOutcome(isDisconnect(err), fmt.Errorf("writing request: %w", err))
	}
	reply, keepOpen, err := c.readReply(a, options, memory)
	switch {
	case err != nil && c.source.ended:
		return nil, unknownOutcome(true, err) // whatever the parser makes of what came before the end
	case err != nil:
		return nil, err
	}
	reply.EndedWithConnection = c.source.ended
	c.reusable = keepOpen && writeSucceeded(writeDone) && c.reader.Buffered() == 0
	return reply, nil
}

// unknownOutcome wraps the error of an attempt that the server may have run. lost says that the server
// closed or reset the connection.
func unknownOutcome(lost bool, err error) error {
	if lost {
		return fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, ErrConnectionLost, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// writeSucceeded reports whether the whole request has been written. If the reply arrives before
// that, the connection must not be reused: the server would parse the rest of the request as
// another one.
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

// write writes the pieces of a request. A request larger than maxInlineWrite is written in the
// background and its result is sent on done; done is nil for a smaller one. length is the number of
// bytes that have or may have been written.
func (c *connection) write(pieces encodedRequest) (length int, done <-chan error, err error) {
	total := 0
	for _, piece := range pieces {
		total += len(piece)
	}
	if total <= maxInlineWrite {
		length, err = c.writePieces(pieces)
		return length, nil, err
	}
	result := make(chan error, 1)
	go func() {
		_, err := c.writePieces(pieces)
		result <- err
	}()
	return total, result, nil
}

func (c *connection) writePieces(pieces encodedRequest) (length int, err error) {
	for _, piece := range pieces {
		if len(piece) == 0 {
			continue
		}
		written, err := c.conn.Write(piece)
		length += written
		if err != nil {
			return length, err
		}
	}
	return length, nil
}

// readReply reads replies until the one to the attempt. keepOpen reports whether the connection
// may carry another request.
func (c *connection) readReply(a *Attempt, options Options, memory *replyMemory) (reply *Reply, keepOpen bool, err error) {
	c.source.remaining = options.MaxHeaderBytes
	strays := 0
	for {
		reply, keepOpen, err = c.readNextReply(a, options, memory)
		if err != nil {
			return nil, false, err
		}
		if !options.Headers.isStray(reply.Header, a.Request.AttemptID) {
			return reply, keepOpen && strays == 0, nil
		}
		reply.Release()
		strays++
		if !keepOpen || strays > maxStrayReplies {
			return nil, false, fmt.Errorf("%w: reply belongs to another attempt", ErrMalformed)
		}
	}
}

// readNextReply reads one complete reply. keepOpen reports whether another one may follow it.
func (c *connection) readNextReply(a *Attempt, options Options, memory *replyMemory) (reply *Reply, keepOpen bool, err error) {
	response, err := c.readHeader(a.Request.Method)
	if err != nil {
		return nil, false, err
	}
	reply = &Reply{Status: response.StatusCode, Header: response.Header, body: body{memory: memory}}
	if err := reply.body.read(response, options.MaxBodyBytes); err != nil {
		return nil, false, err
	}
	reply.Body = reply.body.data
	c.updateKeepAlive(response.Header)
	StripHopByHopHeaders(reply.Header)
	return reply, !response.Close, nil
}

// readHeader reads the header of the next final response, skipping interim ones.
func (c *connection) readHeader(method string) (*http.Response, error) {
	c.source.limited = true
	defer func() { c.source.limited = false }()
	for range maxInterimResponses {
		c.parsedFor.Method = method
		response, err := http.ReadResponse(c.reader, &c.parsedFor)
		switch {
		case err != nil && isTransportError(err):
			return nil, fmt.Errorf("%w: reading reply: %w", ErrOutcomeUnknown, err)
		case err != nil:
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
			return nil, fmt.Errorf("%w: status %03d", ErrMalformed, response.StatusCode)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: unexpected protocol switch", ErrMalformed)
		case announcesBody(response):
			return nil, fmt.Errorf("%w: interim response with a body", ErrMalformed)
		}
	}
	return nil, fmt.Errorf("%w: too many interim responses", ErrMalformed)
}

// announcesBody reports whether the header of a response has a length or an encoding. Interim responses
// have no body, so the bytes of one would be parsed as the next response.
func announcesBody(response *http.Response) bool {
	return response.Header.Get("Content-Length") != "" || len(response.TransferEncoding) > 0 || response.Header.Get("Transfer-Encoding") != ""
}

// isDisconnect reports whether an error shows that the other side closed or reset the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTransportError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &netErr)
}

// updateKeepAlive records the timeout of the server's Keep-Alive header, less keepAliveMargin.
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
