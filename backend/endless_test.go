package backend_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/internal/httpcall"
)

// A faulty server that sends without end must not fill a node's memory: neither headers nor bodies
// are read beyond their limits, and the connection is closed.
func TestRepliesWithoutEndAreCutOff(t *testing.T) {
	const (
		floodBytes = 64 << 20
		slack      = 64 << 10 // in the transport's buffers
		start      = "HTTP/1.1 200 OK\r\n"
	)
	block := strings.Repeat("x", 64<<10)
	fields := strings.Repeat("Name: value\r\n", 1000)
	interim := "HTTP/1.1 103 Early Hints\r\nLink: " + block[:8<<10] + "\r\n\r\n"
	for name, test := range map[string]struct {
		prefix, block string
		limit         int
	}{
		"no reply at all":       {block, block, httpcall.MaximumHeaderBytes},
		"header line":           {start + "Long: ", block, httpcall.MaximumHeaderBytes},
		"header lines":          {start, fields, httpcall.MaximumHeaderBytes},
		"interim responses":     {interim, interim, httpcall.MaximumHeaderBytes},
		"chunks":                {start + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n", httpcall.MaximumHeaderBytes + backend.MaximumReplyBytes},
		"body without a length": {start + "Connection: close\r\n\r\n", block, httpcall.MaximumHeaderBytes + backend.MaximumReplyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			client := newClient(t, backend.ClientOptions{SpareConnectionsPerServer: -1, Dial: func(context.Context, string, string) (net.Conn, error) {
				clientConn, serverConn := net.Pipe()
				go func() {
					defer func() { _ = serverConn.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(serverConn)); err != nil {
						return
					}
					total := 0
					for text := test.prefix; total < floodBytes; text = test.block {
						count, err := serverConn.Write([]byte(text))
						total += count
						if err != nil {
							break
						}
					}
					written <- total
				}()
				return clientConn, nil
			}})
			_, err := client.Query(t.Context(), "server:1", newQuery("a1"))
			if !errors.Is(err, backend.ErrMalformed) && !errors.Is(err, backend.ErrOutcomeUnknown) {
				t.Errorf("got error %v, want ErrMalformed or ErrOutcomeUnknown", err)
			}
			if got := <-written; got > test.limit+slack {
				t.Errorf("%d bytes were read, limit %d", got, test.limit)
			}
		})
	}
}
