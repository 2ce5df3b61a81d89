package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/platform/standin"
)

const (
	// warmupTime is the time for which a cold server warms up.
	warmupTime = 2 * time.Second
	// burstInterval is the time between two configurations of a burst.
	burstInterval = 200 * time.Millisecond
	// reshardStartTime is the time for which new servers run before a configuration names them. The
	// old ones drain drainDelay after that.
	reshardStartTime = 1500 * time.Millisecond
	drainDelay       = applyBound
	// addressReuseDelay is the time after which another service takes over an address.
	addressReuseDelay = 2 * time.Second
	// entryTTL is the time until a crashed server's entry expires: three heartbeats.
	entryTTL = 3600 * time.Millisecond
	// stopServiceTime is added to the servers' service time around a planned stop.
	stopServiceTime = 300 * time.Millisecond
	// restoreRewriteDelay is the time after which the operator repeats writes that a restored
	// backup lacks.
	restoreRewriteDelay = 300 * time.Millisecond
	// invalidSettingsText is a settings file that cannot be parsed.
	invalidSettingsText = "node_name = [\n"
)

// injectFault waits for the start of a fault, injects it, and returns when it has ended.
func (f *fleet) injectFault(ctx context.Context, fault schedule.Fault) error {
	if clock.Sleep(ctx, fault.At-f.recorder.Now()) != nil {
		return nil // the soak was interrupted
	}
	f.options.ReportProgress("%8.3f s  %s", f.recorder.Now().Seconds(), fault)
	from := f.recorder.Now()
	wait := func() { _ = clock.Sleep(ctx, fault.Until-f.recorder.Now()) }
	n, s := f.findNode(fault.Target), f.findServer(fault.Target)
	switch {
	case n != nil:
		return f.injectNodeFault(fault, n, wait)
	case s != nil:
		return f.injectServerFault(fault, s, wait)
	}
	switch fault.Kind {
	case schedule.RestartNodes:
		return f.restartAllNodes(wait)
	case ZoneOutage:
		f.injectZoneOutage(fault.Target, wait)
	case schedule.StoreOutage:
		f.store.Set(func() { f.store.Down = true })
		wait()
		f.store.Set(func() { f.store.Down = false })
	case schedule.StoreFreeze:
		f.store.Set(func() { f.store.Unresponsive = true })
		wait()
		f.store.Set(func() { f.store.Unresponsive = false })
		f.resetStoreLinks() // calls during the freeze never get a response
	case schedule.StoreLostReply:
		f.store.Set(func() { f.store.DropWriteResponses = true })
		wait()
		f.store.Set(func() { f.store.DropWriteResponses = false })
	case StoreMuteWatches:
		f.store.Set(func() { f.store.MuteWatches = true })
		wait()
		f.store.Set(func() { f.store.MuteWatches = false })
	case StoreRestore:
		backup := f.store.Backup()
		_ = clock.Sleep(ctx, fault.Delay)
		from = f.recorder.Now()
		f.store.Set(func() { f.store.Down = true })
		wait()
		f.store.Restore(backup, restoreRewriteDelay)
		f.store.Set(func() { f.store.Down = false })
	case StoreDropHistory:
		f.store.DropHistory()
	case Configure:
		f.writeConfiguration()
		return nil
	case ConfigureBurst:
		for f.recorder.Now() < fault.Until && ctx.Err() == nil {
			f.writeConfiguration()
			_ = clock.Sleep(ctx, burstInterval)
		}
		return nil
	case Reshard:
		return f.reshard(ctx)
	case Evacuate:
		f.evacuateZone(fault.Target, wait)
		return nil
	case CrashRequest:
		f.sendCrashRequests(ctx, fault)
		return nil
	case RepeatRejections:
		f.setRepeatRejections(true)
		wait()
		f.setRepeatRejections(false)
		return nil
	case RemoveRoute:
		f.removeOptionalRoute(ctx, fault)
		return nil
	case Crowd:
		f.sendCrowd(fault, wait)
		return nil
	case InvalidEntries:
		f.store.PutInvalidEntries()
		wait()
		f.store.RemoveInvalidEntries()
		return nil
	default:
		return fmt.Errorf("%w: %s of %q", ErrUnknownFault, fault.Kind, fault.Target)
	}
	f.recordDisturbanceOfAll(history.Isolated, from, f.recorder.Now())
	return nil
}

// resetStoreLinks resets all connections of nodes to the store.
func (f *fleet) resetStoreLinks() {
	for _, n := range f.nodes {
		n.store.set(linkState{reset: true})
		n.store.set(linkState{})
	}
}

// injectNodeFault injects a fault of one node.
func (f *fleet) injectNodeFault(fault schedule.Fault, n *node, wait func()) error {
	from := f.recorder.Now()
	defer func() { f.recordDisturbance(history.Isolated, n.name, from, f.recorder.Now()) }()
	switch fault.Kind {
	case schedule.KillNode:
		n.kill()
		wait()
		return n.start()
	case schedule.PlannedStop:
		f.addServiceTime(stopServiceTime)
		_ = clock.Sleep(context.Background(), stopServiceTime)
		n.stop()
		f.addServiceTime(-stopServiceTime)
		wait()
		return n.start()
	case schedule.FreezeNode:
		n.signal(syscall.SIGSTOP)
		wait()
		n.signal(syscall.SIGCONT)
		f.recordDisturbance(history.Frozen, n.name, from, f.recorder.Now())
	case ChangeSettings:
		if err := n.writeSettings(n.nodeSettings(false).TOML() + "# changed\n"); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	case InvalidSettings:
		if err := n.writeSettings(invalidSettingsText); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
		wait()
		if err := n.writeSettings(n.nodeSettings(false).TOML()); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	case ReplaceNode:
		return f.replaceNode(n, wait)
	case SilentStoreLink, ResetStoreLink:
		n.store.set(linkState{silent: fault.Kind == SilentStoreLink, reset: fault.Kind == ResetStoreLink})
		wait()
		n.store.set(linkState{reset: true}) // bytes that a silent link held back are lost
		n.store.set(linkState{})
	case StoreRejection:
		n.storeHandler.status.Store(http.StatusServiceUnavailable)
		wait()
		n.storeHandler.status.Store(0)
	default:
		return fmt.Errorf("%w: %s of %q", ErrUnknownFault, fault.Kind, fault.Target)
	}
	return nil
}

// addServiceTime increases all servers' service time, so that requests are in flight at a planned
// stop.
func (f *fleet) addServiceTime(by time.Duration) {
	for _, s := range f.allServers() {
		s.Set(func() { s.ServiceTime = max(s.ServiceTime+by, 0) })
	}
}

// setRepeatRejections sets whether the servers of single requests repeat rejections.
func (f *fleet) setRepeatRejections(repeats bool) {
	for _, s := range f.allServers() {
		if s.Service == ledgerService {
			s.Set(func() { s.RepeatRejections = repeats })
		}
	}
}

// replaceNode kills a node for good and starts another one in the same zone at another address.
func (f *fleet) replaceNode(n *node, wait func()) error {
	n.mutex.Lock()
	n.removed = true
	n.mutex.Unlock()
	n.kill()
	wait()
	f.mutex.Lock()
	number := len(f.layout.Nodes) + f.replacedNodes
	f.replacedNodes++
	f.mutex.Unlock()
	successor, err := f.newNode(number)
	if err != nil {
		return err
	}
	successor.zone = n.zone
	f.addNode(successor)
	return successor.start()
}

// restartAllNodes kills all nodes at once and starts them again.
func (f *fleet) restartAllNodes(wait func()) error {
	from := f.recorder.Now()
	for _, n := range f.allNodes() {
		n.signal(syscall.SIGSTOP) // so that no node sees another one end
	}
	for _, n := range f.allNodes() {
		n.kill()
	}
	wait()
	for _, n := range f.allNodes() {
		if err := n.start(); err != nil {
			return err
		}
	}
	f.recordDisturbanceOfAll(history.Isolated, from, f.recorder.Now())
	return nil
}

// injectZoneOutage freezes the nodes of a zone and makes the links to its servers silent until wait
// returns.
func (f *fleet) injectZoneOutage(zone string, wait func()) {
	from := f.recorder.Now()
	var frozen []*node
	for _, n := range f.allNodes() {
		if n.zone == zone {
			frozen = append(frozen, n)
			n.signal(syscall.SIGSTOP)
		}
	}
	for _, s := range f.allServers() {
		if s.Zone == zone {
			s.link.set(linkState{silent: true})
		}
	}
	wait()
	for _, s := range f.allServers() {
		if s.Zone == zone {
			s.link.set(linkState{reset: true})
			s.link.set(linkState{})
		}
	}
	for _, n := range frozen {
		n.signal(syscall.SIGCONT)
		f.recordDisturbance(history.Frozen, n.name, from, f.recorder.Now())
	}
}

// injectServerFault injects a fault of one server.
func (f *fleet) injectServerFault(fault schedule.Fault, s *server, wait func()) error {
	state := linkState{
		silent: fault.Kind == SilentLink, reset: fault.Kind == ResetLink, oneWay: fault.Kind == OneWayLink,
		trickle: fault.Kind == TrickleLink, delay: 0,
	}
	if fault.Kind == SlowServerLink {
		state.delay = fault.Delay
	}
	if state != (linkState{}) {
		s.link.set(state)
		wait()
		s.link.set(linkState{reset: true})
		s.link.set(linkState{})
		return nil
	}
	if responseFault, found := responseFaults[fault.Kind]; found {
		s.Set(func() { s.Fault = responseFault })
		wait()
		s.Set(func() { s.Fault = standin.NoFault })
		return nil
	}
	switch fault.Kind {
	case FloodResponses:
		s.Set(func() { s.Fault = standin.Endless })
		f.sendLongTimeoutRequests(fault.Until)
		s.Set(func() { s.Fault = standin.NoFault })
	case schedule.KillServer:
		return f.replaceServer(s, wait, 0)
	case schedule.ColdStart:
		return f.replaceServer(s, wait, warmupTime)
	case ReuseAddress:
		return f.reuseAddress(s, wait)
	case RestartServer:
		return f.restartServer(s, wait)
	case schedule.Drain:
		f.drainServer(s)
		wait()
		_ = clock.Sleep(context.Background(), drainBound-f.timeSinceDrain(s))
		return f.replaceServer(s, func() {}, 0)
	case schedule.SlowServer:
		s.Set(func() { s.ServiceTime += fault.Delay })
		wait()
		s.Set(func() { s.ServiceTime -= fault.Delay })
	case schedule.Shed:
		s.Set(func() { s.RejectRequests = true })
		wait()
		s.Set(func() { s.RejectRequests = false })
	case DropResponses:
		s.Set(func() { s.DropResponses = true })
		wait()
		s.Set(func() { s.DropResponses = false })
	case FailRequests:
		s.Set(func() { s.FailRequests = true })
		wait()
		s.Set(func() { s.FailRequests = false })
	default:
		return fmt.Errorf("%w: %s of %q", ErrUnknownFault, fault.Kind, fault.Target)
	}
	return nil
}

// responseFaults maps kinds of faults to the malformed responses that they cause.
var responseFaults = map[schedule.Kind]standin.ResponseFault{
	TruncateResponses: standin.Truncated, DuplicateResponses: standin.SentTwice, OmitResponseLength: standin.EndedByClose, ResetResponses: standin.EndedByReset,
}

// timeSinceDrain returns the time since a server began to drain.
func (f *fleet) timeSinceDrain(s *server) time.Duration { return f.recorder.Now() - s.drainedAt }

// drainServer makes a server announce that it is leaving.
func (f *fleet) drainServer(s *server) {
	s.Drain()
	f.mutex.Lock()
	s.drainedAt = f.recorder.Now()
	f.mutex.Unlock()
	f.recorder.Update(func(h *history.History) {
		h.Leaving = append(h.Leaving, history.ServerLeaving{Server: s.ID, At: s.drainedAt})
	})
}

// removeServer stops a server for good and removes its entry.
func (f *fleet) removeServer(s *server) {
	f.mutex.Lock()
	s.stopped = true
	f.mutex.Unlock()
	s.Stop()
	f.store.RemoveServer(s.ID)
}

// crashServer stops a server without notice. Its entry expires after entryTTL.
func (f *fleet) crashServer(s *server) {
	f.mutex.Lock()
	s.stopped = true
	f.mutex.Unlock()
	s.Stop()
	time.AfterFunc(entryTTL, func() {
		if f.findServer(s.ID) == s { // otherwise the restarted server has written the entry
			f.store.RemoveServer(s.ID)
		}
	})
}

// restartServer crashes a server and restarts it with the same ID and address. A server that has
// announced that it is leaving is not restarted, because leaving servers are checked by their IDs.
func (f *fleet) restartServer(s *server, wait func()) error {
	if f.hasStopped(s) || s.drainedAt > 0 {
		return nil
	}
	f.crashServer(s)
	s.link.set(linkState{reset: true})
	wait()
	f.mutex.Lock()
	f.restartedServers++
	f.servers[fmt.Sprintf("%s, life %d", s.ID, f.restartedServers)] = s
	f.mutex.Unlock()
	_, err := f.startServer(s.Service, s.number, s.set, s.shard, s.Version, s.link)
	s.link.set(linkState{})
	return err
}

// replaceServer crashes a server and starts another one of the same service once wait returns. The
// new server warms up for the given time.
func (f *fleet) replaceServer(s *server, wait func(), warmup time.Duration) error {
	if f.hasStopped(s) {
		return nil
	}
	f.crashServer(s)
	s.link.close() // connections are refused, as by a dead port
	wait()
	successor, err := f.startServer(s.Service, f.nextServerNumber(), s.set, s.shard, s.Version, nil)
	if err == nil && warmup > 0 {
		successor.StartWarmup(warmup)
	}
	return err
}

func (f *fleet) hasStopped(s *server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return s.stopped
}

// nextServerNumber returns the number of the next replacement server.
func (f *fleet) nextServerNumber() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.restartedServers++
	return firstReplacementNumber + f.restartedServers
}

// reuseAddress crashes a server and gives its address to a server of another service. Its own
// service gets a replacement at another address.
func (f *fleet) reuseAddress(s *server, wait func()) error {
	if f.hasStopped(s) {
		return nil
	}
	f.crashServer(s)
	_ = clock.Sleep(context.Background(), addressReuseDelay)
	other := shardName(1, 0)
	if s.Service == other {
		other = shardName(1, 1)
	}
	_, shard := parseShard(other + "-")
	if _, err := f.startServer(other, f.nextServerNumber(), 1, shard, baseVersion, s.link); err != nil {
		return err
	}
	wait()
	_, err := f.startServer(s.Service, f.nextServerNumber(), s.set, s.shard, s.Version, nil)
	return err
}
