package simulation

import (
	"context"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/store"
)

// Intensities of the injected faults.
const (
	coldStartFactor        = 50
	reducedConnectionLimit = 1
	frequentShare          = 0.5
	occasionalShare        = 0.25
	falseLoadFactor        = 20
	falseLoadLagMillis     = 2000
	machineListLagMillis   = 5000
	lostReplyCount         = 2
	staleRevisionCount     = 2
	reducedStoreCallRate   = 1
	repartitionShift       = 3 * itemStride
	newSnapshot            = 2
	changeTimeout          = 20 * time.Second
	// stopBurstSize is the number of requests sent to a node stopBurstLead before
	// its planned stop, so that requests are in flight then.
	stopBurstSize = 8
	stopBurstLead = 15 * time.Millisecond
	// overloadBurstSize is the number of requests sent to each node at once, every
	// overloadInterval.
	overloadBurstSize = 60
	overloadInterval  = 100 * time.Millisecond
)

// inject injects one fault at its start time and removes it at its end time.
func (s *System) inject(fault schedule.Fault) {
	s.sleepUntil(fault.At)
	if hook := s.options.Hooks.Fault; hook != nil && hook(s, fault) {
		return
	}
	switch fault.Kind {
	case schedule.KillNode, schedule.LoseNode, schedule.RestartNodes, schedule.FreezeNode,
		schedule.LeaseExpiry, schedule.Isolate, schedule.PlannedStop:
		s.injectNode(fault)
	case schedule.Partition, schedule.PartitionOneWay, schedule.SlowLink, schedule.ResetConnections:
		s.injectLink(fault)
	case schedule.StoreOutage, schedule.StoreSlow, schedule.StoreLostReply, schedule.StoreStale,
		schedule.StoreLimit, schedule.StoreFreeze,
		schedule.MachineListOutage, schedule.MachineListLag, schedule.MachineListEmpty:
		s.injectPlatform(fault)
	case schedule.OperatorRace, schedule.Repartition, schedule.SnapshotChange:
		s.injectChange(fault)
	case schedule.KillServer, schedule.LoseServer, schedule.FreezeServer, schedule.FreezeGroup, schedule.ColdStart,
		schedule.ConnectionLimit, schedule.Drain:
		s.injectServerProcess(fault)
	case schedule.Overload:
		s.overload(fault)
	default:
		s.injectServerFaults(fault)
	}
}

// nodeAt returns the node with the given host address, or nil.
func (s *System) nodeAt(ip string) *nodeHost {
	for _, host := range s.nodes {
		if host.ip == ip {
			return host
		}
	}
	return nil
}

// serverAt returns the server with the given host address, or nil.
func (s *System) serverAt(ip string) *server {
	for _, srv := range s.servers {
		if srv.ip == ip {
			return srv
		}
	}
	return nil
}

func (s *System) injectNode(fault schedule.Fault) {
	host := s.nodeAt(fault.Target)
	switch fault.Kind {
	case schedule.KillNode:
		s.restartNode(host, network.KillReset, fault.Until)
	case schedule.LoseNode:
		s.restartNode(host, network.KillVanish, fault.Until)
	case schedule.RestartNodes:
		var restarts sync.WaitGroup
		for _, host := range s.nodes {
			restarts.Go(func() { s.restartNode(host, network.KillReset, fault.Until) })
		}
		restarts.Wait()
	case schedule.PlannedStop:
		s.stopNode(host, fault.Until)
	case schedule.Isolate:
		s.recordDisturbance(history.Isolated, host.name, fault.At, fault.Until)
		s.isolate(host, s.network.Cut)
		s.sleepUntil(fault.Until)
		s.isolate(host, s.network.Heal)
	default:
		s.recordDisturbance(history.Frozen, host.name, fault.At, fault.Until)
		s.network.Freeze(host.ip)
		s.sleepUntil(fault.Until)
		s.network.Thaw(host.ip)
	}
}

// restartNode kills the node's process and starts a new one at the given time.
// It does nothing if no process is running.
func (s *System) restartNode(host *nodeHost, mode network.KillMode, at time.Duration) {
	if !host.kill(mode) {
		return
	}
	s.sleepUntil(at)
	for _, caller := range s.callers {
		// A request on a connection of the killed process would not reach the
		// new one.
		s.network.ResetConnections(callerIP(caller.node.index), host.ip)
	}
	_ = host.start()
}

// stopNode requests a planned stop of a node with requests in flight, and
// starts a new process at the given time.
func (s *System) stopNode(host *nodeHost, at time.Duration) {
	s.callers[host.index].burst(stopBurstSize)
	time.Sleep(stopBurstLead)
	stopped := true
	if hook := s.options.Hooks.Stop; hook != nil {
		hook(s, host.name)
	} else {
		stopped = host.stop()
	}
	if stopped {
		s.sleepUntil(max(at, s.recorder.Now()))
		_ = host.start()
	}
}

// isolate applies change, which cuts or heals a link, to all links of a node
// except the one to its caller.
func (s *System) isolate(host *nodeHost, change func(from, to string)) {
	others := []string{storeIP, machineListIP, operatorIP}
	for _, other := range s.nodes {
		if other != host {
			others = append(others, other.ip)
		}
	}
	for _, other := range s.servers {
		others = append(others, other.ip)
	}
	for _, other := range others {
		change(host.ip, other)
		change(other, host.ip)
	}
}

// overload makes every caller send bursts until the end of the fault.
func (s *System) overload(fault schedule.Fault) {
	for s.recorder.Now() < fault.Until {
		for _, caller := range s.callers {
			caller.burst(overloadBurstSize)
		}
		time.Sleep(overloadInterval)
	}
}

func (s *System) injectLink(fault schedule.Fault) {
	switch fault.Kind {
	case schedule.ResetConnections:
		s.network.ResetConnections(fault.Target, fault.Peer)
	case schedule.SlowLink:
		s.network.Slow(fault.Target, fault.Peer, fault.Delay)
		s.network.Slow(fault.Peer, fault.Target, fault.Delay)
		s.sleepUntil(fault.Until)
		s.network.Slow(fault.Target, fault.Peer, 0)
		s.network.Slow(fault.Peer, fault.Target, 0)
	case schedule.PartitionOneWay:
		s.network.Cut(fault.Target, fault.Peer)
		s.sleepUntil(fault.Until)
		s.network.Heal(fault.Target, fault.Peer)
	case schedule.Partition:
		s.network.Cut(fault.Target, fault.Peer)
		s.network.Cut(fault.Peer, fault.Target)
		s.sleepUntil(fault.Until)
		s.network.Heal(fault.Target, fault.Peer)
		s.network.Heal(fault.Peer, fault.Target)
	}
}

func (s *System) injectPlatform(fault schedule.Fault) {
	injectStoreFault := func(on, off func(*store.MemoryFaults)) {
		s.platform.storeFaults.update(on)
		s.sleepUntil(fault.Until)
		s.platform.storeFaults.update(off)
	}
	injectListFault := func(on, off func(*emulator.MachineListFaults)) {
		s.platform.machineListFaults.update(on)
		s.sleepUntil(fault.Until)
		s.platform.machineListFaults.update(off)
	}
	switch fault.Kind {
	case schedule.StoreOutage:
		injectStoreFault(func(f *store.MemoryFaults) { f.Down = true }, func(f *store.MemoryFaults) { f.Down = false })
	case schedule.StoreSlow:
		injectStoreFault(func(f *store.MemoryFaults) { f.DelayMilliseconds = milliseconds(fault.Delay) },
			func(f *store.MemoryFaults) { f.DelayMilliseconds = 0 })
	case schedule.StoreLostReply:
		injectStoreFault(func(f *store.MemoryFaults) { f.LoseReplies = lostReplyCount }, func(f *store.MemoryFaults) { f.LoseReplies = 0 })
	case schedule.StoreStale:
		injectStoreFault(func(f *store.MemoryFaults) { f.StaleRevisions = staleRevisionCount },
			func(f *store.MemoryFaults) { f.StaleRevisions = 0 })
	case schedule.StoreLimit:
		injectStoreFault(func(f *store.MemoryFaults) { f.CallsPerSecond = reducedStoreCallRate },
			func(f *store.MemoryFaults) { f.CallsPerSecond = 0 })
	case schedule.StoreFreeze:
		s.network.Freeze(storeIP)
		s.sleepUntil(fault.Until)
		s.network.Thaw(storeIP)
	case schedule.MachineListOutage:
		injectListFault(func(f *emulator.MachineListFaults) { f.Down = true }, func(f *emulator.MachineListFaults) { f.Down = false })
	case schedule.MachineListLag:
		injectListFault(func(f *emulator.MachineListFaults) { f.LagMilliseconds = machineListLagMillis },
			func(f *emulator.MachineListFaults) { f.LagMilliseconds = 0 })
	case schedule.MachineListEmpty:
		injectListFault(func(f *emulator.MachineListFaults) { f.Empty = true }, func(f *emulator.MachineListFaults) { f.Empty = false })
	}
}

// injectChange performs a legitimate change, such as a repartition, while other
// faults may be active.
func (s *System) injectChange(fault schedule.Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	switch fault.Kind {
	case schedule.OperatorRace:
		s.operators.race(ctx, s.nodeAt(fault.Target), s.nodeAt(fault.Peer))
	case schedule.Repartition:
		s.repartition(ctx, fault)
	case schedule.SnapshotChange:
		s.changeSnapshot(fault)
	}
}

// repartition moves the bounds between groups: servers first hold both their
// old and new ranges, then the configuration changes, then the old ranges are
// removed.
func (s *System) repartition(ctx context.Context, fault schedule.Fault) {
	old, moved := s.layout.ranges(0), s.layout.ranges(repartitionShift)
	s.setRanges(func(group int) coverage.Range {
		return coverage.Range{Start: min(old[group].Start, moved[group].Start), End: max(old[group].End, moved[group].End)}
	})
	err := s.operators.repartition(ctx, s.nodes[0], repartitionShift)
	s.sleepUntil(max(fault.Until, s.recorder.Now()))
	if err == nil {
		s.setRanges(func(group int) coverage.Range { return moved[group] })
	}
}

func (s *System) setRanges(rangeOf func(group int) coverage.Range) {
	for group, members := range s.layout.searchGroups() {
		for _, index := range members {
			s.servers[index].faults.update(func(f *emulator.ServerFaults) { f.Ranges = []coverage.Range{rangeOf(group)} })
		}
	}
}

// changeSnapshot adds a new index snapshot to one server after another, and
// then removes the old one in the same order.
func (s *System) changeSnapshot(fault schedule.Fault) {
	count := time.Duration(len(s.servers))
	step := (fault.Until - fault.At) / (2 * count)
	for _, snapshots := range [][]uint64{{1, newSnapshot}, {newSnapshot}} {
		for _, srv := range s.servers {
			srv.faults.update(func(f *emulator.ServerFaults) { f.Snapshots = snapshots })
			time.Sleep(step)
		}
	}
}

func (s *System) injectServerProcess(fault schedule.Fault) {
	srv := s.serverAt(fault.Target)
	switch fault.Kind {
	case schedule.FreezeServer:
		s.network.Freeze(srv.ip)
		s.sleepUntil(fault.Until)
		s.network.Thaw(srv.ip)
	case schedule.FreezeGroup:
		for _, member := range s.groupOf(srv) {
			s.network.Freeze(member.ip)
		}
		s.sleepUntil(fault.Until)
		for _, member := range s.groupOf(srv) {
			s.network.Thaw(member.ip)
		}
	case schedule.KillServer:
		srv.restart(network.KillReset, fault.Until, startOptions{})
	case schedule.LoseServer:
		srv.restart(network.KillVanish, fault.Until, startOptions{})
	case schedule.ColdStart:
		srv.restart(network.KillReset, s.recorder.Now(), startOptions{coldStart: fault.Until - fault.At})
	case schedule.ConnectionLimit:
		srv.restart(network.KillReset, s.recorder.Now(), startOptions{connections: reducedConnectionLimit})
		s.sleepUntil(fault.Until)
		srv.restart(network.KillReset, s.recorder.Now(), startOptions{})
	case schedule.Drain:
		s.drain(srv, fault)
	}
}

// restart kills the server's process and starts a new one at the given time.
func (srv *server) restart(mode network.KillMode, at time.Duration, opts startOptions) {
	srv.kill(mode)
	srv.system.sleepUntil(max(at, srv.system.recorder.Now()))
	_ = srv.start(opts)
}

// drain makes a server leave and restarts it at the end of the fault. Depending
// on the seed, leaving is announced by the server and the machine list, by the
// server alone, or by the machine list alone. A single announcer is used only
// where no other fault can hide the machine list.
func (s *System) drain(srv *server, fault schedule.Fault) {
	variant := s.options.Seed / uint64(len(schedule.Modes())) % 3
	if s.schedule.Has(schedule.MachineListOutage, schedule.MachineListLag, schedule.MachineListEmpty, schedule.Isolate) {
		variant = 0
	}
	srv.beginLeaving(variant != 2, variant != 1)
	s.sleepUntil(fault.Until)
	if srv.isLeaving() {
		srv.restart(network.KillReset, s.recorder.Now(), startOptions{})
	}
}

// injectServerFaults enables a fault of one server, or of all servers of its
// group, and disables it at its end.
func (s *System) injectServerFaults(fault schedule.Fault) {
	servers := []*server{s.serverAt(fault.Target)}
	if fault.Kind == schedule.SlowGroup {
		servers = s.groupOf(servers[0])
	}
	for _, srv := range servers {
		srv.faults.update(func(f *emulator.ServerFaults) { enableServerFault(f, fault) })
	}
	s.sleepUntil(fault.Until)
	for _, srv := range servers {
		srv.faults.update(func(f *emulator.ServerFaults) { disableServerFault(f, fault.Kind) })
	}
}

func (s *System) groupOf(srv *server) []*server {
	for _, group := range s.layout.groups {
		for _, index := range group {
			if index != srv.index {
				continue
			}
			var members []*server
			for _, member := range group {
				members = append(members, s.servers[member])
			}
			return members
		}
	}
	return nil
}

func enableServerFault(f *emulator.ServerFaults, fault schedule.Fault) {
	switch fault.Kind {
	case schedule.SlowServer, schedule.SlowGroup:
		f.StraggleFactor = float64(fault.Delay) / float64(straggleBase)
	case schedule.LateReplies:
		f.ReplyDelayMilliseconds = milliseconds(fault.Delay)
	case schedule.CrossedReplies:
		f.SwappedReplyShare, f.WrongSnapshotShare, f.TruncateShare, f.ErrorShare = frequentShare, occasionalShare, occasionalShare, occasionalShare
	case schedule.CloseAfterRead:
		f.CloseBeforeShare, f.CloseAfterShare = frequentShare, frequentShare
	case schedule.Shed:
		f.ShedShare = frequentShare
	case schedule.FalseHealth:
		f.HealthState = backend.HealthStarting
	case schedule.FalseLoad:
		f.LoadFactor, f.LoadLagMilliseconds = falseLoadFactor, falseLoadLagMillis
	}
}

func disableServerFault(f *emulator.ServerFaults, kind schedule.Kind) {
	switch kind {
	case schedule.SlowServer, schedule.SlowGroup:
		f.StraggleFactor = 0
	case schedule.LateReplies:
		f.ReplyDelayMilliseconds = 0
	case schedule.CrossedReplies:
		f.SwappedReplyShare, f.WrongSnapshotShare, f.TruncateShare, f.ErrorShare = 0, 0, 0, 0
	case schedule.CloseAfterRead:
		f.CloseBeforeShare, f.CloseAfterShare = 0, 0
	case schedule.Shed:
		f.ShedShare = 0
	case schedule.FalseHealth:
		f.HealthState = ""
	case schedule.FalseLoad:
		f.LoadFactor, f.LoadLagMilliseconds = 0, 0
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
