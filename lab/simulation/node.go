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

// maxClockError bounds what the hosts' wall clocks are off.
const maxClockError = time.Hour

// queryLimit is few enough for an overload to reach it.
const queryLimit = 100

// nodeHost is one host on which a node runs; its process may be restarted.
type nodeHost struct {
	system *System
	index  int
	name   string
	ip     string

	// mutex guards the fields below.
	mutex sync.Mutex
	// run is the number of the process that runs, or ran last.
	run     int
	cancel  context.CancelFunc
	ended   chan struct{}
	running bool
}

func newNodeHost(s *System, index int) (*nodeHost, error) {
	host := &nodeHost{system: s, index: index, name: nodeName(index), ip: nodeIP(index)}
	return host, host.start()
}

// start runs a new process, which knows nothing of earlier ones.
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

// reducedHealthReadings is a budget of health readings that doesn't suffice for all
// servers; every other seed has it.
const reducedHealthReadings = 2

// options are those of the daemon, over the simulated network.
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
		// Wall clocks differ between machines: a later process may have one
		// that is behind.
		Incarnation: uint64(time.Now().Add(host.clockError()).UnixMilli()),
	}
}

// clockError is by how much the wall clock of the host of the present run is off.
func (host *nodeHost) clockError() time.Duration {
	random := rand.New(rand.NewPCG(host.system.options.Seed, uint64(host.index<<16+host.run)))
	return time.Duration(random.Int64N(int64(2*maxClockError))) - maxClockError
}

// claimShutdown marks the process as ended by the caller, who alone may then end it.
func (host *nodeHost) claimShutdown() (cancel context.CancelFunc, ended chan struct{}, ok bool) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if !host.running {
		return nil, nil, false
	}
	host.running = false
	return host.cancel, host.ended, true
}

// kill ends the process without a word; it reports whether one ran.
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

// stop stops the process as its platform would, and waits for its end.
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

// updateLatestRun changes the record of the latest run.
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

// logCollector learns from the nodes' logs which revision came into force when.
type logCollector struct {
	recorder *history.Recorder
	// mutex guards lines, the latest lines of all nodes.
	mutex sync.Mutex
	lines []string
}

// maxLogLines bounds the lines that are kept for failing seeds.
const maxLogLines = 2000

// inForceMessage is what a node logs when it puts a configuration in force.
const inForceMessage = "configuration in force"

func (l *logCollector) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.lines) < maxLogLines {
		l.lines = append(l.lines, line)
	}
}

// allLines returns the lines kept.
func (l *logCollector) allLines() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines
}

// logWriter takes the log of one process.
type logWriter struct {
	logs    *logCollector
	node    string
	process *network.Process
}

// Write takes one line. Lines of a dead process count no more.
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

// newTransport connects over the simulated network.
func newTransport(process *network.Process) *http.Transport {
	return &http.Transport{DialContext: process.DialContext, MaxIdleConnsPerHost: 8}
}
