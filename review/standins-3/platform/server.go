//go:build review3

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

const (
	// serverCommand is the command of a server process.
	serverCommand = "server"
	// queueLength is the number of requests that a server queues.
	queueLength = 12
	// expectedServerHeader and notExecutedHeader are headers between nodes and servers.
	expectedServerHeader = "X-Banksail-Target-Instance"
	notExecutedHeader    = "X-Banksail-Not-Executed"
)

// server is a sound server of one service. It prints a line for each request that it begins to run.
// Its entry in the store is kept by the case.
type server struct {
	id   string
	work time.Duration
	// queued holds a token for each request that runs or waits, running one for each that runs.
	queued, running chan struct{}
}

// serve runs a server until it is killed.
func serve(arguments []string) int {
	flags := flag.NewFlagSet(serverCommand, flag.ExitOnError)
	id := flags.String("id", "", "ID of the server")
	address := flags.String("address", "", "IP number and port")
	work := flags.Duration("work", 0, "how long a request runs")
	capacity := flags.Int("capacity", 1, "requests that run at a time")
	_ = flags.Parse(arguments) // exits on errors
	s := &server{id: *id, work: *work, queued: make(chan struct{}, *capacity+queueLength), running: make(chan struct{}, *capacity)}
	_, _ = fmt.Fprintln(os.Stderr, http.ListenAndServe(*address, s))
	return exitCannotRun
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
	if expected := request.Header.Get(expectedServerHeader); expected != "" && expected != s.id {
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
		writer.Header().Set(notExecutedHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.running; <-s.queued }()
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
	case s.running <- struct{}{}:
		return true
	case <-ctx.Done():
		<-s.queued
		return false
	}
}
