package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

// maxClockError limits the offset of a host's wall clock in either direction.
const maxClockError = time.Hour

// queryLimit limits the queries held by a node; it is low enough for an
// overload to reach it.
const queryLimit = 100

// nodeHost is a host that runs a node, whose process may be restarted.
type nodeHost struct {
	system *System
	index  int
	name   string
	ip     string

	// mutex guards the fields below.
	mutex sync.Mutex
	// run is the number of the current process, or of the last one if none is
	// running.
	run     int
	cancel  context.CancelFunc
	ended   chan struct{}
	running bool
}

func newNodeHost(s *System, index int) (*nodeHost, error) {
	host := &nodeHost{system: s, index: index, name: nodeName(index), ip: nodeIP(index)}
	return host, host.start()
}

// start starts a new process, which keeps no state of earlier ones.
func (host *nodeHost) start() error {
	process, err := host.system.network.Start(host.ip)
	if err != nil {
		return err
	}
	host.mutex.Lock()
	defer host.mutex.Unlock()
	daemon, err := node.New(host.options(process))
	if err != nil {
		return err
	}
	host.run++
	host.running = true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	host.cancel, host.ended = cancel, ended
	started := host.system.recorder.Now()
	host.system.recorder.Update(func(h *history.History) {
		h.Runs = append(h.Runs, history.NodeRun{Node: host.name, Start: started})
	})
	host.system.platform.updateMachineList(machinelist.Machine{
		ID: host.name, Address: address(host.ip, peerPort), Zone: zoneOf(host.index),
		Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: time.Now().Format(time.RFC3339Nano),
	})
	go func() {
		defer close(ended)
		_ = daemon.Run(ctx)
	}()
	return nil
}

// reducedHealthReadings is a budget of health readings that does not suffice
// for all servers. Nodes use it in runs with an odd seed.
const reducedHealthReadings = 2

// options returns the options of a node that uses the simulated network.
func (host *nodeHost) options(process *network.Process) node.Options {
	set := settings.Default()
	if host.system.options.Seed%2 == 1 {
		set.Backend.HealthReadings = reducedHealthReadings
	}
	set.Node = settings.Node{ID: host.name, Zone: zoneOf(host.index)}
	set.Listen = settings.Listen{
		Caller:   address(host.ip, callerPort),
		Operator: address(host.ip, operatorPort),
		Peer:     address(host.ip, peerPort),
	}
	set.Caller.Queries = queryLimit
	set.Store.Address = "http://" + address(storeIP, storePort)
	set.MachineList.Address = "http://" + address(machineListIP, machineListPort)
	sink := &logWriter{logs: host.system.logs, node: host.name, process: process}
	return node.Options{
		Settings: set,
		Network:  process,
		Store: store.NewHTTP(store.HTTPOptions{
			Address: address(storeIP, storePort), Dial: process.DialContext, Timeout: set.Store.Timeout,
		}),
		MachineList: machinelist.NewHTTP(machinelist.HTTPOptions{
			Address: address(machineListIP, machineListPort), Dial: process.DialContext, Timeout: set.MachineList.Timeout,
		}),
		Logger: zerolog.New(sink).Level(zerolog.InfoLevel),
		Seed:   host.system.options.Seed*1000 + uint64(host.index*100+host.run) + 1,
		// Wall clocks differ between machines, so a later process may have an
		// earlier wall-clock time.
		Incarnation: uint64(time.Now().Add(host.clockError()).UnixMilli()),
	}
}

// clockError returns the wall-clock offset of the current run's host.
func (host *nodeHost) clockError() time.Duration {
	random := rand.New(rand.NewPCG(host.system.options.Seed, uint64(host.index<<16+host.run)))
	return time.Duration(random.Int64N(int64(2*maxClockError))) - maxClockError
}

// claimShutdown marks the process as stopped. It returns true to only one
// caller, who must then stop the process.
func (host *nodeHost) claimShutdown() (cancel context.CancelFunc, ended chan struct{}, ok bool) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if !host.running {
		return nil, nil, false
	}
	host.running = false
	return host.cancel, host.ended, true
}

// kill kills the process without a planned stop. It reports whether a process
// was running.
func (host *nodeHost) kill(mode network.KillMode) bool {
	cancel, _, ok := host.claimShutdown()
	if !ok {
		return false
	}
	host.system.network.Kill(host.ip, mode)
	now := host.system.recorder.Now()
	host.updateLatestRun(func(run *history.NodeRun) { run.End, run.Killed = now, true })
	cancel()
	return true
}

// stop requests a planned stop, as a platform would, and waits for the process
// to end. It reports whether a process was running.
func (host *nodeHost) stop() bool {
	cancel, ended, ok := host.claimShutdown()
	if !ok {
		return false
	}
	asked := host.system.recorder.Now()
	host.updateLatestRun(func(run *history.NodeRun) { run.StopRequestedAt = asked })
	cancel()
	<-ended
	now := host.system.recorder.Now()
	host.updateLatestRun(func(run *history.NodeRun) { run.End = now })
	host.system.network.Kill(host.ip, network.KillReset)
	return true
}

// shutDown stops the process at the end of the simulation.
func (host *nodeHost) shutDown() {
	cancel, ended, ok := host.claimShutdown()
	if !ok {
		return
	}
	cancel()
	<-ended
}

// updateLatestRun changes the history's record of the node's latest run.
func (host *nodeHost) updateLatestRun(change func(*history.NodeRun)) {
	host.system.recorder.Update(func(h *history.History) {
		for index := len(h.Runs) - 1; index >= 0; index-- {
			if h.Runs[index].Node == host.name {
				change(&h.Runs[index])
				return
			}
		}
	})
}

// logCollector collects the nodes' log lines and passes on to the recorder when
// a configuration revision came into force.
type logCollector struct {
	recorder *history.Recorder
	// mutex guards lines, the first maxLogLines lines of all nodes.
	mutex sync.Mutex
	lines []string
}

// maxLogLines limits the lines kept for the report of a seed.
const maxLogLines = 2000

// inForceMessage is the message that a node logs when a configuration comes
// into force.
const inForceMessage = "configuration in force"

func (l *logCollector) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.lines) < maxLogLines {
		l.lines = append(l.lines, line)
	}
}

// allLines returns the collected lines.
func (l *logCollector) allLines() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines
}

// logWriter receives the log of one process.
type logWriter struct {
	logs    *logCollector
	node    string
	process *network.Process
}

// Write collects one log line. Lines of a killed process are ignored.
func (l *logWriter) Write(line []byte) (int, error) {
	select {
	case <-l.process.Done():
		return len(line), nil
	default:
	}
	now := l.logs.recorder.Now()
	l.logs.add(now.String() + " " + l.node + " " + string(bytes.TrimSpace(line)))
	var entry struct {
		Message  string `json:"message"`
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal(line, &entry) == nil && entry.Message == inForceMessage {
		l.logs.recorder.Update(func(h *history.History) {
			h.InForce = append(h.InForce, history.InForce{Node: l.node, Revision: entry.Revision, At: now})
		})
	}
	return len(line), nil
}

// newTransport returns an HTTP transport over the simulated network.
func newTransport(process *network.Process) *http.Transport {
	return &http.Transport{DialContext: process.DialContext, MaxIdleConnsPerHost: 8}
}
