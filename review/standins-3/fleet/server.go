package fleet

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// Server is a sound server of one service. It keeps nothing of the requests that it runs.
type Server struct {
	ID, Service, Zone string
	// Work is how long a request runs, and Capacity how many run at a time.
	Work     time.Duration
	Capacity int
	// Ran counts the requests that the server has run.
	Ran atomic.Int64

	http  *http.Server
	slots chan struct{}
}

// queueLength is the number of requests that a server queues.
const queueLength = 12

// Start serves on a free port and writes the server's entry into the store.
func (s *Server) Start(store *standin.Store) error {
	listener, err := net.Listen("tcp", Host+":0")
	if err != nil {
		return err
	}
	s.slots = make(chan struct{}, s.Capacity+queueLength)
	running := make(chan struct{}, s.Capacity)
	s.http = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { s.serve(running, writer, request) })}
	go func() { _ = s.http.Serve(listener) }() // ends with Stop
	store.Put("servers/"+s.ID, map[string]any{
		"service": s.Service, "address": listener.Addr().String(), "zone": s.Zone, "version": "v1", "capacity": s.Capacity,
		"state": "ready", "born": time.Now().UnixMilli(), "warmup_left_ms": 0, "sequence": 1,
	})
	return nil
}

// Stop ends the server.
func (s *Server) Stop() { _ = s.http.Close() }

func (s *Server) serve(running chan struct{}, writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == standin.HealthPath {
		writer.Header().Set("X-Banksail-Instance-Id", s.ID)
		return
	}
	id := request.Header.Get(standin.AttemptIDHeader)
	writer.Header().Set(standin.AttemptIDHeader, id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if expected := request.Header.Get("X-Banksail-Target-Instance"); expected != "" && expected != s.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		writer.Header().Set("X-Banksail-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	running <- struct{}{}
	defer func() { <-running }()
	s.Ran.Add(1)
	time.Sleep(s.Work)
	writer.Header().Set(standin.StampHeader, s.ID+"."+id)
	_, _ = fmt.Fprintf(writer, "taken: %s", id)
}
