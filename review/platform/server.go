//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// Headers and limits of the published protocol.
const (
	attemptHeader      = "X-Banksail-Attempt-Id"
	timeoutHeader      = "X-Banksail-Timeout-Ms"
	targetHeader       = "X-Banksail-Target-Instance"
	notExecutedHeader  = "X-Banksail-Not-Executed"
	stampHeader        = "X-Banksail-Response-Stamp"
	partStampsHeader   = "X-Banksail-Part-Stamps"
	missingPartsHeader = "X-Banksail-Missing-Parts"
	heartbeat          = 1200 * time.Millisecond
	healthPath         = "/health"
)

// serverOptions describes the servers of one service.
type serverOptions struct {
	service  string
	slots    int
	queue    int // requests that may wait for a slot
	workTime time.Duration
	// surplusShare is the share of a server's refusals (503) that are sent a second time, in the
	// place where the next answer on the connection is due.
	surplusShare float64
	partBytes    int // length of a part; zero: the answer names the request
	// noAnswerShare is the share of a faulty server's answers in whose place it sends bytes that
	// are not an answer. It needs a link.
	noAnswerShare float64
}

// server is a server of the users' platform.
type server struct {
	serverOptions
	id, zone string
	listener net.Listener
	log      *journal
	store    *standin.Store

	mutex    sync.Mutex
	running  int
	waiting  int
	freed    chan struct{}
	sequence int
	born     int64
	stopped  chan struct{}
	link     *link // of a server that sends bytes that are not an answer
}

func startServer(options serverOptions, id, zone string, store *standin.Store, log *journal) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		serverOptions: options, id: id, zone: zone, listener: listener, log: log, store: store,
		freed: make(chan struct{}), born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	s.writeEntry()
	go s.writeEntries()
	go s.accept()
	return s, nil
}

func (s *server) stop() {
	close(s.stopped)
	_ = s.listener.Close()
}

func (s *server) writeEntries() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(heartbeat):
			s.writeEntry()
		}
	}
}

// writeEntry writes the server's entry. The stand-in of the store keeps every write as a change,
// so only the first write counts up the revision that watches see often enough.
func (s *server) writeEntry() {
	s.mutex.Lock()
	s.sequence++
	sequence := s.sequence
	s.mutex.Unlock()
	if sequence > 1 {
		return // nothing but the sequence changes: the entry counts as unchanged
	}
	s.store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1",
		"capacity": s.slots, "state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": s.born,
	})
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var surplus []byte // a second copy of an earlier answer, sent where the next one is due
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if surplus != nil {
			s.log.add("surplus", request.Header.Get(attemptHeader), s.id, "")
			if _, err := conn.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		answer := s.answer(request, body)
		if s.link != nil && request.URL.Path != healthPath && rand.Float64() < s.noAnswerShare {
			began := s.log.sinceStart()
			length := s.link.sendNoAnswer(conn)
			s.log.add("noanswer", request.Header.Get(attemptHeader), s.id, fmt.Sprintf("%d MB that are no answer from %.4f on", length>>20, began.Seconds()))
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if bytes.HasPrefix(answer, []byte("HTTP/1.1 503")) && rand.Float64() < s.surplusShare {
			surplus = answer
		}
	}
}

// answer runs or rejects a request and returns the bytes of the answer.
func (s *server) answer(request *http.Request, body []byte) []byte {
	if request.URL.Path == healthPath {
		return encode(http.StatusOK, "", []string{"X-Banksail-Instance-Id: " + s.id}, nil)
	}
	id := request.Header.Get(attemptHeader)
	notRun := []string{notExecutedHeader + ": 1"}
	switch target := request.Header.Get(targetHeader); {
	case target != "" && target != s.id:
		return encode(http.StatusMisdirectedRequest, id, notRun, nil)
	case id == "":
		return encode(http.StatusBadRequest, id, notRun, nil)
	}
	limit, _ := strconv.Atoi(request.Header.Get(timeoutHeader))
	if !s.takeSlot(time.Duration(limit) * time.Millisecond) {
		s.log.add("shed", id, s.id, "")
		return encode(http.StatusServiceUnavailable, id, notRun, nil)
	}
	defer s.freeSlot()
	s.log.add("ran", id, s.id, request.Method+" "+request.RequestURI+" "+digest(body))
	time.Sleep(s.workTime)
	return encode(http.StatusOK, id, []string{stampHeader + ": " + s.stamp(id)}, s.content(id))
}

// takeSlot waits for a slot. It reports false if the server is full or the time ran out.
func (s *server) takeSlot(limit time.Duration) bool {
	end := time.After(limit)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running < s.slots {
		s.running++
		return true
	}
	if s.waiting >= s.queue {
		return false
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.running >= s.slots {
		freed := s.freed
		s.mutex.Unlock()
		late := false
		select {
		case <-freed:
		case <-end:
			late = true
		}
		s.mutex.Lock()
		if late {
			return false
		}
	}
	s.running++
	return true
}

func (s *server) freeSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

func (s *server) stamp(id string) string { return s.service + "/" + s.id + "/" + id }

// content returns the body of the answer to a request.
func (s *server) content(id string) []byte {
	if s.partBytes == 0 {
		return []byte(contentOf(s.id, id))
	}
	return partOf(s.service, id, s.partBytes)
}

// contentOf returns the body of the answer of a server without parts.
func contentOf(server, id string) string { return "answer of " + server + " to " + id }

// partOf returns the records of a service for a request. All of its servers answer alike.
func partOf(service, id string, length int) []byte {
	var part []byte
	for number := 0; len(part) < length; number++ {
		hash := fnv.New128a()
		_, _ = fmt.Fprintf(hash, "%s %s %d", service, id, number)
		part = append(part, hash.Sum(nil)...)
	}
	return part
}

func digest(body []byte) string {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// encode returns the bytes of an answer.
func encode(status int, id string, headers []string, body []byte) []byte {
	var answer bytes.Buffer
	_, _ = fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		_, _ = fmt.Fprintf(&answer, "%s: %s\r\n", attemptHeader, id)
	}
	for _, header := range headers {
		answer.WriteString(header + "\r\n")
	}
	_, _ = fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n", len(body))
	answer.Write(body)
	return answer.Bytes()
}
