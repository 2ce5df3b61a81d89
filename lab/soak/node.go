package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/platform/standin"
)

// Ports of each node, the same on all hosts.
const (
	callersPort = 21800 + iota
	readyPort
	directoryPort
	controlPort
	gossipPort
	metricsPort
)

const (
	// graceSeconds is the grace period of a planned stop, after which the process is killed.
	graceSeconds = 6
	// startupTime is the time within which a process starts to listen.
	startupTime = time.Second
	// fileMode is the mode of settings files.
	fileMode = 0o600
)

// node is one machine of the fleet, with its process and its own link to the store.
type node struct {
	name, zone, host string
	fleet            *fleet
	settingsPath     string
	// store is the link to the store, and storeHandler serves the store to this node.
	store        *link
	storeHandler *nodeStoreHandler

	mutex sync.Mutex
	// mutex guards the fields below.
	process *process
	starts  int
	removed bool
}

// process is one run of the program.
type process struct {
	command   *exec.Cmd
	startedAt time.Duration
	ended     chan struct{}
	// stopRequested means that the soak has asked the process to end or killed it.
	stopRequested atomic.Bool
	// runIndex is the index of the run in the history's Runs.
	runIndex int
}

// nodeStoreHandler serves the store to one node and can reject its calls.
type nodeStoreHandler struct {
	store *standin.Store
	// status is the HTTP status with which all calls are rejected; zero means that none is.
	status atomic.Int32
}

// ServeHTTP implements http.Handler.
func (d *nodeStoreHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if status := int(d.status.Load()); status != 0 {
		writer.WriteHeader(status)
		return
	}
	d.store.ServeHTTP(writer, request)
}

// nodeHost returns a loopback address for a node that is unique to this process; tests with the
// real program use others.
func nodeHost(number int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+number, id>>8&255, id&255)
}

// newNode creates a node without starting its process.
func (f *fleet) newNode(number int) (*node, error) {
	n := &node{
		name: nodeName(number), zone: f.layout.Zones[number%len(f.layout.Zones)], host: nodeHost(number), fleet: f,
		settingsPath: filepath.Join(f.directory, nodeName(number)+".toml"), storeHandler: &nodeStoreHandler{store: f.store},
	}
	address, err := f.serve(n.storeHandler)
	if err != nil {
		return nil, err
	}
	n.store, err = newLink(loopback, address)
	if err != nil {
		return nil, err
	}
	f.onClose(n.store.close)
	return n, nil
}

// nodeSettings returns the settings that the platform writes for the node.
func (n *node) nodeSettings(bootstrap bool) standin.NodeSettings {
	settings := standin.NodeSettings{
		NodeName: n.name, Zone: n.zone, Zones: n.fleet.layout.Zones, Host: n.host, Bootstrap: bootstrap, GraceSeconds: graceSeconds, EnableRollouts: true, MemoryMB: n.fleet.options.MemoryMB,
		CallerPort: callersPort, ReadyPort: readyPort, DirectoryPort: directoryPort, ControlPort: controlPort, InternalPort: gossipPort,
		StoreAddress: n.store.address(), ApplyMS: n.fleet.options.NodeApplyBound.Milliseconds(),
	}
	for number := range seedNodeCount {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("%s:%d", nodeHost(number), controlPort))
	}
	return settings
}

// seedNodeCount is the number of nodes that the settings name as seeds, even after they have been
// replaced.
const seedNodeCount = 3

func (n *node) writeSettings(text string) error {
	return os.WriteFile(n.settingsPath, []byte(text), fileMode)
}

// start runs the program as a new process.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.removed || n.process != nil {
		return nil
	}
	if err := n.writeSettings(n.nodeSettings(n.starts == 0).TOML()); err != nil {
		return err
	}
	n.starts++
	log, err := os.Create(filepath.Join(n.fleet.directory, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	if err != nil {
		return err
	}
	p := &process{command: exec.Command(n.fleet.options.Program, n.fleet.options.Arguments...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), standin.SettingsVariable+"="+n.settingsPath)
	p.command.Env = append(p.command.Env, n.fleet.options.Environment...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.startedAt = n.fleet.recorder.Now()
	n.fleet.recorder.Update(func(h *history.History) {
		p.runIndex = len(h.Runs)
		h.Runs = append(h.Runs, history.NodeRun{Node: n.name, Start: p.startedAt})
	})
	n.fleet.recordDisturbance(history.Frozen, n.name, p.startedAt, p.startedAt+startupTime)
	n.process = p
	go n.waitForExit(p, log)
	return nil
}

// waitForExit records the end of a process. An exit that was not requested, or a planned stop with
// a non-zero exit code, is a violation.
func (n *node) waitForExit(p *process, log *os.File) {
	err := p.command.Wait()
	_ = log.Close()
	n.mutex.Lock()
	if n.process == p {
		n.process = nil
	}
	n.mutex.Unlock()
	n.fleet.recorder.Update(func(h *history.History) { h.Runs[p.runIndex].End = n.fleet.recorder.Now() })
	code := p.command.ProcessState.ExitCode()
	switch {
	case !p.stopRequested.Load():
		n.fleet.addViolation(UnexpectedExit, n.name, "ended by itself after %s: %v", n.fleet.recorder.Now()-p.startedAt, err)
	case n.wasStoppedGracefully(p) && code != 0:
		n.fleet.addViolation(UnexpectedExit, n.name, "a planned stop ended with exit code %d", code)
	}
	close(p.ended)
}

// wasStoppedGracefully reports whether a planned stop of the process was requested and it was not
// killed.
func (n *node) wasStoppedGracefully(p *process) (stopped bool) {
	n.fleet.recorder.Update(func(h *history.History) {
		stopped = h.Runs[p.runIndex].StopRequestedAt != 0 && !h.Runs[p.runIndex].Killed
	})
	return stopped
}

// current returns the running process, or nil if there is none.
func (n *node) current() *process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process
}

// signal sends a signal to the process, if one runs.
func (n *node) signal(signal syscall.Signal) {
	if p := n.current(); p != nil {
		_ = p.command.Process.Signal(signal) // the process may have just exited, which waitForExit records
	}
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	p := n.current()
	if p == nil {
		return
	}
	n.fleet.recorder.Update(func(h *history.History) { h.Runs[p.runIndex].Killed = true })
	p.stopRequested.Store(true)
	_ = p.command.Process.Kill() // the process may have just exited
	<-p.ended
}

// stop requests a planned stop and waits for it. A process that has not ended after the grace
// period is killed, which is a violation.
func (n *node) stop() {
	p := n.current()
	if p == nil {
		return
	}
	n.fleet.recorder.Update(func(h *history.History) { h.Runs[p.runIndex].StopRequestedAt = n.fleet.recorder.Now() })
	p.stopRequested.Store(true)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceSeconds * time.Second):
		n.fleet.addViolation(UnexpectedExit, n.name, "a planned stop had not ended after %d s", graceSeconds)
		n.kill()
	}
}
