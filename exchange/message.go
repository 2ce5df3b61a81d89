package exchange

import (
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers holds the names of the headers exchanged between nodes and servers.
type Headers struct {
	// AttemptID identifies the caller's attempt; every reply repeats it.
	AttemptID string
	// Remaining is the time left for the request, in milliseconds.
	Remaining string
	// ExpectedServer is the only server incarnation that may run the request.
	ExpectedServer string
	// Stamp is the server's proof that it produced the reply.
	Stamp string
	// NotExecuted is set on replies of servers that did not run the request.
	NotExecuted string
	// Load is the server's load: requests running, requests waiting and slots.
	Load string
}

// Request is a caller's request as it is forwarded to servers.
type Request struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	// Header must not be modified while the request is in flight.
	Header http.Header
	Body   []byte
	// AttemptID is the attempt ID set by the caller; empty if it set none.
	AttemptID string

	// head is the part that all attempts share; it is encoded once, by the first of them.
	head     []byte
	headOnce sync.Once

	mutex sync.Mutex
	// mutex guards carriers, the connections on which attempts of the request were sent.
	carriers []*connection
}

// canUse reports whether the reply to another attempt of the request could be told apart, on the
// given connection, from surplus replies to what the connection has carried before. A surplus
// reply may arrive after any later request was sent, and all attempts of the request have the same
// ID.
func (r *Request) canUse(conn *connection) bool {
	if r.AttemptID == "" {
		return !conn.used
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !slices.Contains(r.carriers, conn)
}

// addCarrier records that an attempt of the request is sent on the connection.
func (r *Request) addCarrier(conn *connection) {
	conn.used = true
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.carriers = append(r.carriers, conn)
}

// encodedHead returns the encoded request up to the headers that differ between attempts.
func (r *Request) encodedHead() []byte {
	r.headOnce.Do(func() {
		buffer := bytes.NewBuffer(make([]byte, 0, headSizeHint))
		buffer.WriteString(r.Method)
		buffer.WriteByte(' ')
		buffer.WriteString(r.Target)
		buffer.WriteString(" HTTP/1.1\r\nHost: ")
		buffer.WriteString(r.Host)
		buffer.WriteString("\r\n")
		_ = r.Header.Write(buffer) // writes to a buffer do not fail
		if len(r.Body) > 0 || hasBody(r.Method) {
			writeHeader(buffer, "Content-Length", strconv.Itoa(len(r.Body)))
		}
		r.head = buffer.Bytes()
	})
	return r.head
}

// Reply is a server's complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// EndedWithConnection says that the body has no length and ended when the server closed the
	// connection, which it may have done because it crashed.
	EndedWithConnection bool

	body body // holds Body and its share of the client's memory
}

// HoldsMemory reports whether the reply counts towards Options.MaxBufferedBytes.
func (r *Reply) HoldsMemory() bool { return r.body.reserved > 0 }

// Release ends the reply's share of Options.MaxBufferedBytes. The body must not be used any more.
func (r *Reply) Release() {
	if r.HoldsMemory() {
		r.body.release()
	}
}

// hopByHopHeaders are headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopByHopHeaders removes the headers that apply to a single connection, including those
// listed in Connection.
func StripHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// encodedRequest is a request in pieces that are written one after the other. Some may be empty.
type encodedRequest [3][]byte

// encode encodes the request for one server, in pieces that are to be written one after the other.
// A long head and a long body are shared by all attempts: with a copy for each, a fan-out to many
// services would need many times the memory of the request. remaining must be the time left at the
// moment of sending, as dialing may have used some of the attempt's time.
func (c *Client) encode(a *Attempt, remaining time.Duration) encodedRequest {
	head, body := a.Request.encodedHead(), a.Request.Body
	if len(head)+len(body) <= maxCopiedBytes {
		encoded := make([]byte, 0, len(head)+len(body)+attemptHeadersSizeHint)
		encoded = c.appendAttemptHeaders(append(encoded, head...), a, remaining)
		return encodedRequest{append(encoded, body...)}
	}
	attemptHeaders := c.appendAttemptHeaders(make([]byte, 0, attemptHeadersSizeHint), a, remaining)
	return encodedRequest{head, attemptHeaders, body}
}

// appendAttemptHeaders appends the headers that differ between attempts, and the blank line.
func (c *Client) appendAttemptHeaders(encoded []byte, a *Attempt, remaining time.Duration) []byte {
	encoded = append(encoded, c.options.Headers.Remaining...)
	encoded = append(encoded, ": "...)
	encoded = strconv.AppendInt(encoded, max(remaining.Milliseconds(), 1), 10)
	encoded = append(encoded, "\r\n"...)
	encoded = append(encoded, c.options.Headers.ExpectedServer...)
	encoded = append(encoded, ": "...)
	encoded = append(encoded, a.Server.ID...)
	return append(encoded, "\r\n\r\n"...)
}

const (
	// headSizeHint is the initial capacity, in bytes, for the encoded head; most requests fit.
	headSizeHint = 512
	// attemptHeadersSizeHint is the capacity, in bytes, for the headers that differ between attempts.
	attemptHeadersSizeHint = 128
	// maxCopiedBytes is the size of requests that are copied for each attempt, so that each is sent
	// with one write.
	maxCopiedBytes = 4 << 10
)

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeHeader(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}
