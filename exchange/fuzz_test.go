package exchange_test

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/exchange"
)

// Limits of the client in FuzzReplies. They are low, so that short inputs reach them.
const (
	fuzzHeaderBytes = 512
	fuzzBodyBytes   = 1024
	// fuzzReadBytes bounds what one attempt reads: headers within one limit, up to three bodies with
	// the encoding in chunks that net/http tolerates, and what waits in the connection's buffer.
	fuzzReadBytes = fuzzHeaderBytes + 3*(fuzzBodyBytes+20<<10) + 4<<10
)

// plainReply is the reply that a plain parse of a whole stream gives to an attempt.
type plainReply struct {
	status int
	body   []byte
	// isAlone reports that nothing follows the reply and nothing came before it but interim
	// responses.
	isAlone bool
}

// parsePlainly parses a stream reply by reply and returns the first one to the attempt; nil if it
// has none.
func parsePlainly(stream []byte, id string) *plainReply {
	source := bytes.NewReader(stream)
	reader := bufio.NewReader(source)
	for number := 0; ; {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return nil
		}
		if response.Header.Get("Attempt") == id {
			return &plainReply{response.StatusCode, body, number == 0 && source.Len()+reader.Buffered() == 0}
		}
		number++
	}
}

// FuzzReplies sends any bytes in reply to an attempt, in pieces of drawn lengths. The attempt may
// take only the reply that a plain parse gives it, must read no more than the limits allow, and the
// connection may carry another attempt only after exactly one complete reply.
func FuzzReplies(f *testing.F) {
	valid := replyTo("one")
	for _, stream := range []string{
		valid, valid + valid, strings.Replace(replyTo("other"), "body", "evil", 1) + valid, valid + "x", valid[:len(valid)-1], "hello\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + valid,
		"HTTP/1.1 200 OK\r\nAttempt: one\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nName: value\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: one\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + valid,
		"HTTP/1.1 204 No Content\r\nAttempt: one\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nAttempt: one\r\nConnection: keep-alive\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nAttempt: one\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: one\r\nContent-Length: 2000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: one\r\nLong: " + strings.Repeat("x", 2*fuzzHeaderBytes),
		"HTTP/1.1 200 OK\r\nAttempt: one\r\nLong: " + strings.Repeat("x", 2*fuzzReadBytes),
	} {
		f.Add([]byte(stream), uint64(1), false)
		f.Add([]byte(stream), uint64(2), true)
	}
	f.Fuzz(func(t *testing.T, stream []byte, seed uint64, closes bool) {
		plain := parsePlainly(stream, "one")
		synctest.Test(t, func(t *testing.T) {
			dials, written := 0, 0
			draw := rand.New(rand.NewPCG(seed, 1))
			client := exchange.NewClient(exchange.Options{
				Headers: testHeaders, MaxHeaderBytes: fuzzHeaderBytes, MaxBodyBytes: fuzzBodyBytes,
				Dial: dialScript(0, func(request *http.Request, conn net.Conn) {
					if request.Header.Get("Attempt") != "one" {
						write(conn, replyTo("two"))
						return
					}
					for rest := stream; len(rest) > 0; {
						length := 1 + draw.IntN(len(rest))
						count, err := conn.Write(rest[:length])
						written += count
						if err != nil {
							return
						}
						rest = rest[length:]
					}
					if closes {
						_ = conn.Close()
					}
				}, &dials),
			})
			reply, err := client.Do(newAttempt("one", time.Second))
			synctest.Wait()
			if written > fuzzReadBytes {
				t.Errorf("%d bytes were read", written)
			}
			if err != nil {
				client.PruneIdle(nil, 0)
				return
			}
			if plain == nil || reply.Status != plain.status || !bytes.Equal(reply.Body, plain.body) {
				t.Fatalf("took a reply with status %d and body %q, plain parse: %+v", reply.Status, reply.Body, plain)
			}
			// A pipe does not show that it is closed or that bytes wait in it, so the next attempt may fail.
			next, err := client.Do(newAttempt("two", time.Second))
			if err == nil && (next.Header.Get("Attempt") != "two" || dials == 1 && !plain.isAlone) {
				t.Errorf("next attempt on connection %d got the reply to %q", dials, next.Header.Get("Attempt"))
			}
			client.PruneIdle(nil, 0)
		})
	})
}
