//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

const (
	crashService = "portal"
	// crashServers is the number of servers.
	crashServers = 6
	// crashPath begins the path of the request that crashes servers.
	crashPath = "/find/deadly"
	// crashBackTime is how long a server is down after a crash.
	crashBackTime = 3 * time.Second
	// crashInterval is the time between two comings of the request, and crashPlayed for how long it
	// comes.
	crashInterval = 1500 * time.Millisecond
	crashPlayed   = 40 * time.Second
	// contactTime is the users' contact_ms, and allowedRetries the number of retries that the rule
	// allows later than that after the third crash.
	contactTime    = 5 * time.Second
	allowedRetries = 3
)

// crashServer is a server that crashes when it has begun to run a request for crashPath: nothing
// listens at its address for crashBackTime. It has sent the header and a part of its answer by then,
// unless silent is set.
type crashServer struct {
	fleet       *crashFleet
	id, address string

	mutex sync.Mutex
	// mutex guards the fields below. conns are the open connections.
	server   *http.Server
	conns    map[net.Conn]struct{}
	sequence int
}

// arrival is a request for crashPath that a server began to run.
type arrival struct {
	id string
	at time.Duration
}

// crashFleet holds what all servers saw.
type crashFleet struct {
	d       *deployment
	trouble bool
	silent  bool
	expect  bool
	servers []*crashServer

	mutex sync.Mutex
	// mutex guards the fields below: the requests for crashPath that servers ran, and when they
	// crashed.
	arrivals []arrival
	crashes  []time.Duration
	ordinary int
}

// playCrash sends a request again and again that crashes the servers that run it. The rule BUDGET is
// broken if more than allowedRetries retries of it reach servers later than contactTime after it
// has crashed the third.
//
// With PART=silent the servers crash before they have sent anything. With PART=expect they do so, too,
// but the request has a body and asks for the interim answer 100, which they have sent by then.
func playCrash(r *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, 2)
	if err != nil {
		return false, err
	}
	defer d.close()
	f := &crashFleet{d: d, trouble: trouble, expect: os.Getenv("PART") == "expect"}
	f.silent = f.expect || os.Getenv("PART") == "silent"
	if err := f.start(); err != nil {
		return false, err
	}
	d.store.PutConfig(standin.Config{Version: 1, Routes: []standin.Route{{
		Name: "find", Host: host, PathPrefix: "/find/", Type: standin.Repeatable, TimeoutMS: 2000, TargetLatencyMS: 200,
		Priority: 1, MaxAttempts: 2, Service: crashService,
	}}, Services: []standin.ServiceConfig{{Name: crashService, HealthPath: standin.HealthPath, MaxConnections: 110}}})
	if err := d.startNodes(2, []string{"zone-a", "zone-b"}, false); err != nil {
		return false, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	f.send()
	return f.judge(), nil
}

func (f *crashFleet) start() error {
	for number := range crashServers {
		listener, err := f.d.serverListener()
		if err != nil {
			return err
		}
		s := &crashServer{fleet: f, id: standin.ServerName(crashService, number), address: listener.Addr().String(), conns: make(map[net.Conn]struct{})}
		f.servers = append(f.servers, s)
		s.serve(listener)
	}
	return nil
}

// serve starts the server's process, so to speak, and writes its entry.
func (s *crashServer) serve(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	s.server = &http.Server{Handler: s, ConnState: s.track}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	s.fleet.d.store.Put("servers/"+s.id, map[string]any{
		"service": crashService, "address": s.address, "zone": "zone-a", "version": "v1", "capacity": 3,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *crashServer) track(conn net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		if state == http.StateClosed {
			delete(s.conns, conn)
		}
	}
}

// crash ends the server: its listener closes, then all of its connections. It starts again under its
// ID after crashBackTime.
func (s *crashServer) crash() {
	s.mutex.Lock()
	server := s.server
	s.server = nil
	conns := make([]net.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	clear(s.conns)
	s.mutex.Unlock()
	if server == nil {
		return // it has crashed under another request
	}
	s.fleet.mutex.Lock()
	s.fleet.crashes = append(s.fleet.crashes, time.Since(s.fleet.d.recorder.start))
	s.fleet.mutex.Unlock()
	s.fleet.d.recorder.detail("server %s crashes", s.id)
	_ = server.Close()
	for _, conn := range conns {
		_ = conn.Close()
	}
	time.AfterFunc(crashBackTime, func() {
		for range 100 {
			if listener, err := net.Listen("tcp", s.address); err == nil {
				s.serve(listener)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *crashServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == standin.HealthPath {
		writer.Header().Set("X-Banksail-Instance-Id", s.id)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get(standin.AttemptIDHeader)
	writer.Header().Set(standin.AttemptIDHeader, id)
	if expected := request.Header.Get("X-Banksail-Target-Instance"); expected != "" && expected != s.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	writer.Header().Set(standin.StampHeader, s.id+"/"+id)
	if !strings.HasPrefix(request.URL.Path, crashPath) {
		s.fleet.mutex.Lock()
		s.fleet.ordinary++
		s.fleet.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
		_, _ = writer.Write([]byte("found"))
		return
	}
	s.fleet.mutex.Lock()
	s.fleet.arrivals = append(s.fleet.arrivals, arrival{id, time.Since(s.fleet.d.recorder.start)})
	s.fleet.mutex.Unlock()
	s.fleet.d.recorder.detail("request %s %s runs at %s", id, request.URL.Path, s.id)
	if !s.fleet.trouble {
		_, _ = writer.Write([]byte("found"))
		return
	}
	if !s.fleet.silent {
		_, _ = writer.Write([]byte("the first part of an answer"))
		_ = http.NewResponseController(writer).Flush()
	}
	time.Sleep(20 * time.Millisecond)
	s.crash()
	panic(http.ErrAbortHandler)
}

// send sends ordinary requests, and the one that crashes servers at the nodes in turn, each time with
// an ID of its own.
func (f *crashFleet) send() {
	var sending sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range f.d.nodes {
		c := newCaller(f.d.recorder)
		sending.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c.ask(n, http.MethodGet, fmt.Sprintf("/find/%s-%d", n.name, number), nil, time.Second)
			}
		})
	}
	c := newCaller(f.d.recorder)
	for began, number := time.Now(), 0; time.Since(began) < crashPlayed; number++ {
		n := f.d.nodes[number%len(f.d.nodes)]
		var got answer
		if f.expect {
			got = c.askExpecting(n, crashPath, strings.Repeat("q", 4000), 1500*time.Millisecond)
		} else {
			got = c.ask(n, http.MethodGet, crashPath, nil, 1500*time.Millisecond)
		}
		f.d.recorder.detail("sent %s at %.3f to node %d: status %d, error %v", got.id, got.sentAt.Seconds(), number%len(f.d.nodes)+1, got.status, got.err)
		time.Sleep(crashInterval)
	}
	close(stop)
	sending.Wait()
}

func (f *crashFleet) judge() (broken bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.d.recorder
	r.line("%d arrivals of the request at servers, %d crashes, %d ordinary requests ran", len(f.arrivals), len(f.crashes), f.ordinary)
	if len(f.crashes) < 3 {
		return false
	}
	late, retries := 0, make(map[string]struct{})
	for _, one := range f.arrivals {
		if one.at > f.crashes[2]+contactTime {
			late++
			retries[one.id] = struct{}{}
		}
	}
	r.line("third crash at %.3f; later than %s after it the request reached servers %d times, in %d retries by the client; allowed are %d", f.crashes[2].Seconds(), contactTime, late, len(retries), allowedRetries)
	return len(retries) > allowedRetries
}
