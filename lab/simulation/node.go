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

// largestClockError bounds what the hosts' wall clocks are off.
const largestClockError = time.Hour

// heldQueries is few enough for an overload to reach it.
const heldQueries = 100

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
	one := &nodeHost{system: s, index: index, name: nodeName(index), ip: nodeIP(index)}
	return one, one.start()
}

// start runs a new process, which knows nothing of earlier ones.
func (one *nodeHost) start() error {
	process, err := one.system.network.Start(one.ip)
	if err != nil {
		return err
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	daemon, err := node.New(one.options(process))
	if err != nil {
		return err
	}
	one.run++
	one.running = true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	one.cancel, one.ended = cancel, ended
	started := one.system.recorder.Now()
	one.system.recorder.Update(func(h *history.History) {
		h.Runs = append(h.Runs, history.NodeRun{Node: one.name, Start: started})
	})
	one.system.platform.list(machinelist.Machine{
		ID: one.name, Address: address(one.ip, peerPort), Zone: zoneOf(one.index),
		Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: time.Now().Format(time.RFC3339Nano),
	})
	go func() {
		defer close(ended)
		_ = daemon.Run(ctx)
	}()
	return nil
}

// scarceReadings is a budget of health readings that doesn't suffice for all
// servers; every other seed has it.
const scarceReadings = 2

// options are those of the daemon, over the simulated network.
func (one *nodeHost) options(process *network.Process) node.Options {
	set := settings.Default()
	if one.system.options.Seed%2 == 1 {
		set.Backend.HealthReadings = scarceReadings
	}
	set.Node = settings.Node{ID: one.name, Zone: zoneOf(one.index)}
	set.Listen = settings.Listen{
		Caller:   address(one.ip, callerPort),
		Operator: address(one.ip, operatorPort),
		Peer:     address(one.ip, peerPort),
	}
	set.Caller.Queries = heldQueries
	set.Store.Address = "http://" + address(storeIP, storePort)
	set.MachineList.Address = "http://" + address(machineListIP, machineListPort)
	sink := &nodeLog{logs: one.system.logs, node: one.name, process: process}
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
		Seed:   one.system.options.Seed*1000 + uint64(one.index*100+one.run) + 1,
		// Wall clocks differ between machines: a later process may have one
		// that is behind.
		Incarnation: uint64(time.Now().Add(one.clockError()).UnixMilli()),
	}
}

// clockError is by how much the wall clock of the host of the present run is off.
func (one *nodeHost) clockError() time.Duration {
	random := rand.New(rand.NewPCG(one.system.options.Seed, uint64(one.index<<16+one.run)))
	return time.Duration(random.Int64N(int64(2*largestClockError))) - largestClockError
}

// take marks the process as ended by the caller, who alone may then end it.
func (one *nodeHost) take() (cancel context.CancelFunc, ended chan struct{}, ok bool) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if !one.running {
		return nil, nil, false
	}
	one.running = false
	return one.cancel, one.ended, true
}

// kill ends the process without a word; it reports whether one ran.
func (one *nodeHost) kill(mode network.KillMode) bool {
	cancel, _, ok := one.take()
	if !ok {
		return false
	}
	one.system.network.Kill(one.ip, mode)
	now := one.system.recorder.Now()
	one.editRun(func(run *history.NodeRun) { run.End, run.Killed = now, true })
	cancel()
	return true
}

// stop stops the process as its platform would, and waits for its end.
func (one *nodeHost) stop() bool {
	cancel, ended, ok := one.take()
	if !ok {
		return false
	}
	asked := one.system.recorder.Now()
	one.editRun(func(run *history.NodeRun) { run.StopRequestedAt = asked })
	cancel()
	<-ended
	now := one.system.recorder.Now()
	one.editRun(func(run *history.NodeRun) { run.End = now })
	one.system.network.Kill(one.ip, network.KillReset)
	return true
}

// end stops the process at the end of the simulation.
func (one *nodeHost) end() {
	cancel, ended, ok := one.take()
	if !ok {
		return
	}
	cancel()
	<-ended
}

// editRun changes the record of the latest run.
func (one *nodeHost) editRun(change func(*history.NodeRun)) {
	one.system.recorder.Update(func(h *history.History) {
		for index := len(h.Runs) - 1; index >= 0; index-- {
			if h.Runs[index].Node == one.name {
				change(&h.Runs[index])
				return
			}
		}
	})
}

// logSink learns from the nodes' logs which revision came into force when.
type logSink struct {
	recorder *history.Recorder
	// mutex guards lines, the latest lines of all nodes.
	mutex sync.Mutex
	lines []string
}

// maximumLogLines bounds the lines that are kept for failing seeds.
const maximumLogLines = 2000

// inForceMessage is what a node logs when it puts a configuration in force.
const inForceMessage = "configuration in force"

func (l *logSink) keep(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.lines) < maximumLogLines {
		l.lines = append(l.lines, line)
	}
}

// all returns the lines kept.
func (l *logSink) all() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lines
}

// nodeLog takes the log of one process.
type nodeLog struct {
	logs    *logSink
	node    string
	process *network.Process
}

// Write takes one line. Lines of a dead process count no more.
func (l *nodeLog) Write(line []byte) (int, error) {
	select {
	case <-l.process.Done():
		return len(line), nil
	default:
	}
	now := l.logs.recorder.Now()
	l.logs.keep(now.String() + " " + l.node + " " + string(bytes.TrimSpace(line)))
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
