//go:build review2

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

const (
	entryService = "returns"
	// entryServers is the number of servers, of which one is grey: a share of 0.14.
	entryServers = 7
	// greyShare is the part of its requests that the grey server fails.
	greyShare = 0.4
	// entryTime is how long a request runs.
	entryTime = 20 * time.Millisecond
	// entryRequests is the number of requests that are sent, one each entryInterval.
	entryRequests = 900
	entryInterval = 16 * time.Millisecond
	// greyFrom is when the server turns grey, counted from the first request, and greyTime for how long
	// it is.
	greyFrom = 4 * time.Second
	greyTime = 6 * time.Second
)

// entryServer is a server of the service. A grey one runs all requests and answers a part of them
// with 503. It never says that such a request has not been executed.
type entryServer struct {
	id string

	mutex sync.Mutex
	// mutex guards the fields below. runs is the number of runs by request ID.
	grey bool
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (s *entryServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
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
	s.mutex.Lock()
	s.runs[id]++
	grey := s.grey
	s.mutex.Unlock()
	time.Sleep(entryTime)
	if grey && rand.Float64() < greyShare {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set(standin.StampHeader, s.id+"/"+id)
	_, _ = writer.Write([]byte("entered"))
}

func (s *entryServer) setGrey(r *recorder, grey bool) {
	r.line("server %s, grey: %t", s.id, grey)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.grey = grey
}

// playRefused sends requests that must not be repeated to a service with a grey server. The rule
// REFUSED is broken if one that has run is answered with 408, 421, 429 or 503.
func playRefused(r *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, 2)
	if err != nil {
		return false, err
	}
	defer d.close()
	servers, err := startEntryServers(d)
	if err != nil {
		return false, err
	}
	d.store.PutConfig(standin.Config{Version: 1, Routes: []standin.Route{{
		Name: "enter", Host: host, PathPrefix: "/enter/", Type: standin.NotRepeatable, TimeoutMS: 2000, TargetLatencyMS: 200,
		Priority: 1, MaxAttempts: 2, Service: entryService,
	}}, Services: []standin.ServiceConfig{{Name: entryService, HealthPath: standin.HealthPath, MaxConnections: 110}}})
	if err := d.startNodes(2, []string{"zone-a", "zone-b"}, false); err != nil {
		return false, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		time.AfterFunc(greyFrom, func() { servers[0].setGrey(r, true) })
		time.AfterFunc(greyFrom+greyTime, func() { servers[0].setGrey(r, false) })
	}
	return judgeRefusals(r, sendEntries(d), servers), nil
}

func startEntryServers(d *deployment) ([]*entryServer, error) {
	var servers []*entryServer
	for number := range entryServers {
		listener, err := d.serverListener()
		if err != nil {
			return nil, err
		}
		s := &entryServer{id: standin.ServerName(entryService, number), runs: make(map[string]int)}
		go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
		zone := []string{"zone-a", "zone-b"}[number%2]
		d.store.Put("servers/"+s.id, map[string]any{
			"service": entryService, "address": listener.Addr().String(), "zone": zone, "version": "v1", "capacity": 3,
			"state": "ready", "warmup_left_ms": 0, "sequence": 1,
		})
		servers = append(servers, s)
	}
	return servers, nil
}

func sendEntries(d *deployment) []answer {
	c := newCaller(d.recorder)
	answers := make([]answer, entryRequests)
	var sending sync.WaitGroup
	for number := range entryRequests {
		sending.Go(func() {
			path := fmt.Sprintf("/enter/%d", number)
			answers[number] = c.ask(d.nodes[number%len(d.nodes)], http.MethodPost, path, bytes.NewReader([]byte(strings.Repeat("r", 40))), 1500*time.Millisecond)
		})
		time.Sleep(entryInterval)
	}
	sending.Wait()
	return answers
}

func judgeRefusals(r *recorder, answers []answer, servers []*entryServer) (broken bool) {
	statuses := make(map[int]int)
	untrue := 0
	for _, got := range answers {
		statuses[got.status]++
		runs, ranAt := 0, ""
		for _, s := range servers {
			s.mutex.Lock()
			if count := s.runs[got.id]; count > 0 {
				runs += count
				ranAt = s.id
			}
			s.mutex.Unlock()
		}
		r.detail("request %s at %.3f: status %d, error %v, runs %d %s", got.id, got.sentAt.Seconds(), got.status, got.err, runs, ranAt)
		switch got.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if runs > 0 {
				untrue++
				r.detail("REFUSED broken: request %s got %d and has run at %s", got.id, got.status, ranAt)
			}
		}
		if runs > 1 {
			r.line("TWICE: request %s ran %d times", got.id, runs)
		}
	}
	r.line("answers by status: %v", statuses)
	r.line("requests that were told not to have run, and had run: %d", untrue)
	return untrue > 0
}
