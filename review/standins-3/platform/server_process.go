//go:build review3

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// serverProcess is a server that runs as a process of its own, which can be killed and started again
// under the ID that it had. It is safe for concurrent use.
type serverProcess struct {
	id, service, zone, address string
	work                       time.Duration
	capacity                   int
	store                      *standin.Store
	record                     *record
	folder                     string

	mutex sync.Mutex
	// mutex guards the fields below.
	process *exec.Cmd
	over    bool
}

// start starts the process and writes the server's entry into the store, with the time of its start.
func (s *serverProcess) start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.over {
		return nil
	}
	runs, err := os.OpenFile(s.runsFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = runs.Close() }()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	process := exec.Command(self, serverCommand, "-id", s.id, "-address", s.address, "-work", s.work.String(), "-capacity", strconv.Itoa(s.capacity))
	process.Stdout, process.Stderr = runs, os.Stderr
	if err := process.Start(); err != nil {
		return err
	}
	s.process = process
	s.store.Put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.capacity,
		"state": "ready", "born": time.Now().UnixMilli(), "warmup_left_ms": 0, "sequence": 1,
	})
	s.record.printf("%s: started", s.id)
	return nil
}

// runsFile is the file with the requests that the server has run, a line each.
func (s *serverProcess) runsFile() string { return filepath.Join(s.folder, s.id+".runs") }

// kill ends the process with SIGKILL. The server's entry stays, as that of a server that says nothing.
func (s *serverProcess) kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.process == nil {
		return
	}
	_ = s.process.Process.Kill()
	_ = s.process.Wait()
	s.process = nil
	s.record.printf("%s: killed", s.id)
}

// close kills the process for good.
func (s *serverProcess) close() {
	s.kill()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.over = true
}
