package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/banksail/banksail/gateway"
)

// unreadBody is longer than the limit on headers, and some of its lines look like headers.
var unreadBody = strings.Repeat("entry\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n", 1000)

// request returns a request on a path with the given header lines and body.
func request(path, lines, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: a1\r\n%s: 4000\r\n%s\r\n%s",
		path, testHost, attemptHeader, remainingHeader, lines, body)
}

func withLength(path, body string) string {
	return request(path, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

func withChunk(path, body string) string {
	return request(path, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
}

// write writes all of the texts, one after the other, without waiting for responses.
func (c *rawCaller) write(texts ...string) {
	go func() {
		for _, text := range texts {
			if _, err := io.WriteString(c.conn, text); err != nil {
				return
			}
		}
	}()
}

// readStatus reads a response and returns its status, or 0 if there is none.
func (c *rawCaller) readStatus() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// A request is refused before its body has been read, and net/http discards the rest of the body
// after the handler has returned. These bytes were inspected as the header of the next request on
// the connection, which was then refused with 431 or 400.
func TestRequestAfterUnreadBody(t *testing.T) {
	reject := func(g *gateway.Gateway) { g.RejectRequests() }
	for name, test := range map[string]struct {
		refused       string
		prepare       func(g *gateway.Gateway)
		status, after int
	}{
		"no route, plain body":      {refused: withLength("/other/x", strings.Repeat("x", 60_000)), status: http.StatusNotFound, after: http.StatusOK},
		"no route":                  {refused: withLength("/other/x", unreadBody), status: http.StatusNotFound, after: http.StatusOK},
		"no route, chunks":          {refused: withChunk("/other/x", unreadBody), status: http.StatusNotFound, after: http.StatusOK},
		"body over limit":           {refused: withLength("/once/x", unreadBody), status: http.StatusRequestEntityTooLarge, after: http.StatusOK},
		"chunk over limit":          {refused: withChunk("/once/x", unreadBody), status: http.StatusRequestEntityTooLarge, after: http.StatusOK},
		"stopping":                  {refused: withLength("/once/x", unreadBody), prepare: reject, status: http.StatusServiceUnavailable, after: http.StatusServiceUnavailable},
		"stopping, chunks":          {refused: withChunk("/once/x", unreadBody), prepare: reject, status: http.StatusServiceUnavailable, after: http.StatusServiceUnavailable},
		"request for all resources": {refused: "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", status: http.StatusNotFound, after: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, func(http.ResponseWriter, *http.Request) {})
			if test.prepare != nil {
				test.prepare(g)
			}
			c := newRawCaller(t, listen(t, g))
			for round := range 3 {
				c.write(test.refused)
				if status := c.readStatus(); status != test.status {
					t.Fatalf("round %d: status %d, want %d", round, status, test.status)
				}
				c.write(withLength("/once/x", "entry"))
				if status := c.readStatus(); status != test.after {
					t.Fatalf("round %d: status %d of the next request, want %d", round, status, test.after)
				}
			}
		})
	}
}

// A request that arrives in the same read as the body before it is held to the same rules as one
// that comes alone. It was not inspected at all: what another parser might read differently, or
// had a header over the limit, was forwarded.
func TestPipelinedRequestsAreInspected(t *testing.T) {
	const bothFramings = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
	for name, test := range map[string]struct {
		lines, body string
		status      int
	}{
		"a length and chunks":      {bothFramings, "0\r\n\r\n", http.StatusBadRequest},
		"a header over the limit":  {"Long: " + strings.Repeat("x", 5000) + "\r\nContent-Length: 0\r\n", "", http.StatusRequestHeaderFieldsTooLarge},
		"a body over the limit":    {"Content-Length: 101\r\n", strings.Repeat("x", 101), http.StatusRequestEntityTooLarge},
		"a proper request":         {"Content-Length: 5\r\n", "entry", http.StatusOK},
		"a continued length field": {"Content-Length: 0\r\n\t5\r\n", "entry", http.StatusBadRequest},
	} {
		for kind, first := range map[string]string{
			"after a length":          withLength("/once/x", "entry"),
			"after chunks":            withChunk("/once/x", "entry"),
			"after a refusal":         withLength("/other/x", "entry"),
			"after all resources":     "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
			"after one without body":  withLength("/once/x", ""),
			"after a blank line, too": withLength("/once/x", "entry") + "\r\n",
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				g := newGateway(t, func(http.ResponseWriter, *http.Request) {})
				c := newRawCaller(t, listen(t, g))
				c.write(first + request("/once/x", test.lines, test.body))
				_ = c.readStatus()
				if status := c.readStatus(); status != test.status {
					t.Errorf("status %d, want %d", status, test.status)
				}
			})
		}
	}
}

// HTTP/1.0 has no chunks, so net/http ignores the encoding there; another parser may not.
func TestChunkedRequestOfOldProtocol(t *testing.T) {
	g := newGateway(t, func(http.ResponseWriter, *http.Request) { t.Error("request reached the server") })
	c := newRawCaller(t, listen(t, g))
	text := strings.Replace(withChunk("/once/x", "entry"), "HTTP/1.1", "HTTP/1.0", 1)
	c.write(strings.Replace(text, "\r\n", "\r\nConnection: keep-alive\r\n", 1))
	if status := c.readStatus(); status != http.StatusBadRequest {
		t.Errorf("status %d, want %d", status, http.StatusBadRequest)
	}
	if status := c.readStatus(); status != 0 {
		t.Errorf("connection stays open: status %d", status)
	}
}
