package exchange

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/banksail/banksail/discovery"
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
}

// Attempt is one sending of a request to one server.
type Attempt struct {
	Request *Request
	Server  discovery.Server
	// Remaining is the time that is left for it when Do is called.
	Remaining time.Duration
}

// Reply is a server's whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripConnection removes the headers that concern one connection only, and
// those that Connection names.
func StripConnection(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range perConnection {
		header.Del(name)
	}
}

// encode writes the request for one server, which is told how much time remains
// now: a connection may have taken some of it.
func (c *Client) encode(a *Attempt, remaining time.Duration) []byte {
	request := a.Request
	buffer := bytes.NewBuffer(make([]byte, 0, encodedHeader+len(request.Body)))
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	_ = request.Header.Write(buffer) // a buffer takes everything
	writeHeader(buffer, c.options.Headers.Remaining, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	writeHeader(buffer, c.options.Headers.ExpectedServer, a.Server.ID)
	if len(request.Body) > 0 || hasBody(request.Method) {
		writeHeader(buffer, "Content-Length", strconv.Itoa(len(request.Body)))
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	return buffer.Bytes()
}

// encodedHeader is the room for the header of most requests.
const encodedHeader = 512

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeHeader(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}
