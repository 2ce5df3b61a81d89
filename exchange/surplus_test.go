package exchange_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/exchange"
)

// surplusServer runs every second request with an ID and rejects the others. On each connection it
// sends a second copy of a rejection when the connection's request after the next skip ones
// arrives, in front of the reply that is due.
type surplusServer struct {
	skip  int
	mutex sync.Mutex
	// mutex guards the fields below, by attempt ID and by connection.
	arrivals, runs map[string]int
	copies         map[net.Conn][]string
}

func newSurplusServer(skip int) *surplusServer {
	return &surplusServer{skip: skip, arrivals: make(map[string]int), runs: make(map[string]int), copies: make(map[net.Conn][]string)}
}

func (s *surplusServer) reply(request *http.Request, conn net.Conn) {
	id := request.Header.Get("Attempt")
	s.mutex.Lock()
	copies := s.copies[conn]
	due := ""
	if len(copies) > s.skip {
		due, copies = copies[0], copies[1:]
	}
	s.arrivals[id]++
	answer, later := replyTo(id), ""
	if s.arrivals[id]%2 == 1 {
		answer = "HTTP/1.1 503 Service Unavailable\r\nAttempt: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		later = answer
	} else {
		s.runs[id]++
	}
	s.copies[conn] = append(copies, later)
	s.mutex.Unlock()
	write(conn, due+answer)
}

// A server rejects a request, and a second copy of the rejection arrives after the same request
// was sent again on the same connection. The copy was taken for the reply to the second attempt,
// which the server ran: the request then ran at another server as well, or its caller was told that
// it had not run.
func TestSurplusReplyToEarlierAttemptOfRequest(t *testing.T) {
	for name, others := range map[string]int{"sent again at once": 0, "sent again after another request": 1, "sent again after two others": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				server := newSurplusServer(others)
				client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, server.reply, &dials)})
				defer client.PruneIdle(nil, 0)
				first := newAttempt("one", time.Second)
				if reply, err := client.Do(first); err != nil || reply.Status != http.StatusServiceUnavailable {
					t.Fatal(reply, err)
				}
				for number := range others {
					if _, err := client.Do(newAttempt("other-"+strconv.Itoa(number), time.Second)); err != nil {
						t.Fatal(err)
					}
				}
				second := &exchange.Attempt{Request: first.Request, Server: first.Server, Remaining: time.Second}
				reply, err := client.Do(second)
				if err != nil {
					t.Fatal(err)
				}
				if server.runs["one"] != 1 || reply.Status != http.StatusOK {
					t.Errorf("server ran the request %d times, and the reply has status %d", server.runs["one"], reply.Status)
				}
				if dials != 2 || client.ConnectionCount() != 1 {
					t.Errorf("%d connections were opened and %d are open, want 2 and 1", dials, client.ConnectionCount())
				}
			})
		})
	}
}

// Without an attempt ID nothing tells a surplus reply from the one that is due, so such a request
// needs a connection that has carried none.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		server := newSurplusServer(0)
		client := exchange.NewClient(exchange.Options{Headers: testHeaders, Dial: dialScript(0, server.reply, &dials)})
		defer client.PruneIdle(nil, 0)
		for _, want := range []struct {
			id            string
			status, dials int
		}{
			{"one", http.StatusServiceUnavailable, 1},
			{"", http.StatusServiceUnavailable, 2},
			{"", http.StatusOK, 3},
		} {
			reply, err := client.Do(newAttempt(want.id, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			if reply.Status != want.status || reply.Header.Get("Attempt") != want.id || dials != want.dials {
				t.Errorf("ID %q: status %d to %q on connection %d, want %d on %d", want.id, reply.Status, reply.Header.Get("Attempt"), dials, want.status, want.dials)
			}
		}
	})
}
