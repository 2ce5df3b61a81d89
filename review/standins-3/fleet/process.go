package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// serverProgram is the stand-in for a server, relative to the root of the repository.
const serverProgram = "target/review/server"

// ServerProcess is a server that runs as a process of its own. Its methods are safe for concurrent
// use.
type ServerProcess struct {
	ID, Service, Zone, Address string
	Work                       time.Duration
	Capacity                   int
	Store                      *standin.Store
	Record                     *Record
	Folder                     string

	mutex   sync.Mutex
	process *exec.Cmd
	ended   bool
}

// Start starts the process and writes the server's entry into the store, with the time of its start.
func (s *ServerProcess) Start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return nil
	}
	runs, err := os.OpenFile(s.RunsFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = runs.Close() }()
	process := exec.Command(serverProgram, "-id", s.ID, "-address", s.Address, "-work", s.Work.String(), "-capacity", strconv.Itoa(s.Capacity))
	process.Stdout, process.Stderr = runs, os.Stderr
	if err := process.Start(); err != nil {
		return err
	}
	s.process = process
	s.Store.Put("servers/"+s.ID, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "capacity": s.Capacity,
		"state": "ready", "born": time.Now().UnixMilli(), "warmup_left_ms": 0, "sequence": 1,
	})
	s.Record.Printf("%s: started", s.ID)
	return nil
}

// RunsFile is the file with the requests that the server has run.
func (s *ServerProcess) RunsFile() string { return filepath.Join(s.Folder, s.ID+".runs") }

// Kill ends the process with SIGKILL.
func (s *ServerProcess) Kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.process == nil {
		return
	}
	_ = s.process.Process.Kill()
	_ = s.process.Wait()
	s.process = nil
	s.Record.Printf("%s: killed", s.ID)
}

// Close kills the process for good.
func (s *ServerProcess) Close() {
	s.Kill()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
}
