// Command server is a sound server of one service, as a process of its own that a case can kill. It
// prints a line for each request that it begins to run. Its entry in the store is kept by the case.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// queueLength is the number of requests that the server queues.
const queueLength = 12

type server struct {
	id             string
	work           time.Duration
	queued, active chan struct{}
}

func main() {
	id := flag.String("id", "", "ID of the server")
	address := flag.String("address", "", "IP number and port")
	work := flag.Duration("work", 5*time.Millisecond, "how long a request runs")
	capacity := flag.Int("capacity", 3, "requests that run at a time")
	flag.Parse()
	s := &server{id: *id, work: *work, queued: make(chan struct{}, *capacity+queueLength), active: make(chan struct{}, *capacity)}
	if err := http.ListenAndServe(*address, s); !errors.Is(err, http.ErrServerClosed) {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == standin.HealthPath {
		writer.Header().Set("X-Banksail-Instance-Id", s.id)
		return
	}
	id := request.Header.Get(standin.AttemptIDHeader)
	writer.Header().Set(standin.AttemptIDHeader, id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if expected := request.Header.Get("X-Banksail-Target-Instance"); expected != "" && expected != s.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx := request.Context()
	if milliseconds, err := strconv.Atoi(request.Header.Get(standin.TimeoutHeader)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
		defer cancel()
	}
	if id == "" || !s.enter(ctx) {
		writer.Header().Set("X-Banksail-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.active; <-s.queued }()
	_, _ = fmt.Printf("%d runs %s %s of attempt %s\n", time.Now().UnixMilli(), request.Method, request.RequestURI, id)
	select {
	case <-time.After(s.work):
		writer.Header().Set(standin.StampHeader, s.id+"."+id)
		_, _ = fmt.Fprintf(writer, "answer to %s", id)
	case <-request.Context().Done(): // the caller has left
	case <-ctx.Done():
		writer.WriteHeader(http.StatusGatewayTimeout)
	}
}

// enter waits for a slot. It reports false if the queue is full or the time is over.
func (s *server) enter(ctx context.Context) bool {
	select {
	case s.queued <- struct{}{}:
	default:
		return false
	}
	select {
	case s.active <- struct{}{}:
		return true
	case <-ctx.Done():
		<-s.queued
		return false
	}
}
