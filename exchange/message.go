package exchange

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers names the headers that carry what a node and a server tell each other.
type Headers struct {
	// AttemptID names the caller's attempt; every answer carries it back.
	AttemptID string
	// Remaining is the number of milliseconds that are left.
	Remaining string
	// ExpectedServer is the incarnation that alone may run the request.
	ExpectedServer string
	// Stamp is the server's proof of its answer.
	Stamp string
	// NotExecuted is set on answers of servers that did not run the request.
	NotExecuted string
	// Load is the server's account of its work: running, waiting and slots.
	Load string
}

// Request is one caller's request as it goes to servers.
type Request struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	// Header must not be changed while the request is in flight.
	Header http.Header
	Body   []byte
	// AttemptID is the caller's; empty when it gave none.
	AttemptID string

	// head is what all attempts have in common, encoded for the first of them.
	head     []byte
	headOnce sync.Once
}

// encodedHead is the request up to the headers that differ from attempt to attempt.
func (r *Request) encodedHead() []byte {
	r.headOnce.Do(func() {
		buffer := bytes.NewBuffer(make([]byte, 0, headSizeHint))
		buffer.WriteString(r.Method)
		buffer.WriteByte(' ')
		buffer.WriteString(r.Target)
		buffer.WriteString(" HTTP/1.1\r\nHost: ")
		buffer.WriteString(r.Host)
		buffer.WriteString("\r\n")
		_ = r.Header.Write(buffer) // a buffer takes everything
		if len(r.Body) > 0 || hasBody(r.Method) {
			writeHeader(buffer, "Content-Length", strconv.Itoa(len(r.Body)))
		}
		r.head = buffer.Bytes()
	})
	return r.head
}

// Reply is a server's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopByHopHeaders removes the headers that concern one connection only, and
// those that Connection names.
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

// encode writes the request for one server, which is told how much time remains
// now: a connection may have taken some of it.
func (c *Client) encode(a *Attempt, remaining time.Duration) []byte {
	head := a.Request.encodedHead()
	encoded := make([]byte, 0, len(head)+len(a.Request.Body)+attemptHeadersSizeHint)
	encoded = append(encoded, head...)
	encoded = append(encoded, c.options.Headers.Remaining...)
	encoded = append(encoded, ": "...)
	encoded = strconv.AppendInt(encoded, max(remaining.Milliseconds(), 1), 10)
	encoded = append(encoded, "\r\n"...)
	encoded = append(encoded, c.options.Headers.ExpectedServer...)
	encoded = append(encoded, ": "...)
	encoded = append(encoded, a.Server.ID...)
	encoded = append(encoded, "\r\n\r\n"...)
	return append(encoded, a.Request.Body...)
}

const (
	// headSizeHint is the room for the header of most requests.
	headSizeHint = 512
	// attemptHeadersSizeHint is the room for the headers that differ from attempt to attempt.
	attemptHeadersSizeHint = 128
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
