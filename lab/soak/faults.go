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
	// warmup is how long a cold server is cold.
	warmup = 2 * time.Second
	// stormGap is the time between two configurations of a storm.
	stormGap = 200 * time.Millisecond
	// reshardLead is how long the new servers are there before a configuration names them,
	// and reshardTail how long after that the old ones drain.
	reshardLead = 1500 * time.Millisecond
	reshardTail = applyBound
	// reuseGap is how long an address rests before another service has it.
	reuseGap = 2 * time.Second
	// lapseTime is how long the entry of a server stays that has crashed: three heartbeats.
	lapseTime = 3600 * time.Millisecond
	// stopWork is how much longer servers work around a planned stop.
	stopWork = 300 * time.Millisecond
	// operatorAfter is the time until the operator writes again what a copy of the store lacks.
	operatorAfter = 300 * time.Millisecond
	// misspelt is a settings file that can't be read.
	misspelt = "node_name = [\n"
)

// play carries a schedule's fault out and returns when it is over.
func (f *fleet) play(ctx context.Context, fault schedule.Fault) error {
	if clock.Sleep(ctx, fault.At-f.recorder.Now()) != nil {
		return nil // the soak was interrupted
	}
	f.options.ReportProgress("%8.3f s  %s", f.recorder.Now().Seconds(), fault)
	from := f.recorder.Now()
	wait := func() { _ = clock.Sleep(ctx, fault.Until-f.recorder.Now()) }
	n, s := f.nodeNamed(fault.Target), f.serverNamed(fault.Target)
	switch {
	case n != nil:
		return f.harmNode(fault, n, wait)
	case s != nil:
		return f.harmServer(fault, s, wait)
	}
	switch fault.Kind {
	case schedule.RestartNodes:
		return f.restartAll(wait)
	case ZoneOutage:
		f.darkenZone(fault.Target, wait)
	case schedule.StoreOutage:
		f.store.Set(func() { f.store.Down = true })
		wait()
		f.store.Set(func() { f.store.Down = false })
	case schedule.StoreFreeze:
		f.store.Set(func() { f.store.Unresponsive = true })
		wait()
		f.store.Set(func() { f.store.Unresponsive = false })
		f.resetStoreLinks() // calls that were left without an answer stay so
	case schedule.StoreLostReply:
		f.store.Set(func() { f.store.DropWriteResponses = true })
		wait()
		f.store.Set(func() { f.store.DropWriteResponses = false })
	case StoreMuteWatches:
		f.store.Set(func() { f.store.MuteWatches = true })
		wait()
		f.store.Set(func() { f.store.MuteWatches = false })
	case StoreRestore:
		taken := f.store.Backup()
		_ = clock.Sleep(ctx, fault.Delay)
		from = f.recorder.Now()
		f.store.Set(func() { f.store.Down = true })
		wait()
		f.store.Restore(taken, operatorAfter)
		f.store.Set(func() { f.store.Down = false })
	case StoreDropHistory:
		f.store.DropHistory()
	case Configure:
		f.configure()
		return nil
	case ConfigureBurst:
		for f.recorder.Now() < fault.Until && ctx.Err() == nil {
			f.configure()
			_ = clock.Sleep(ctx, stormGap)
		}
		return nil
	case Reshard:
		return f.reshard(ctx)
	case Evacuate:
		f.evacuate(fault.Target, wait)
		return nil
	case CrashRequest:
		f.sendDeadly(ctx, fault)
		return nil
	case InvalidEntries:
		f.store.PutInvalidEntries()
		wait()
		f.store.RemoveInvalidEntries()
		return nil
	default:
		return fmt.Errorf("%w: %s of %q", ErrUnknownFault, fault.Kind, fault.Target)
	}
	f.disturbAll(history.Isolated, from, f.recorder.Now())
	return nil
}

// resetStoreLinks breaks off what nodes have open to the store.
func (f *fleet) resetStoreLinks() {
	for _, n := range f.nodes {
		n.store.set(linkState{reset: true})
		n.store.set(linkState{})
	}
}

// harmNode carries out what hits one node.
func (f *fleet) harmNode(fault schedule.Fault, n *node, wait func()) error {
	from := f.recorder.Now()
	defer func() { f.disturb(history.Isolated, n.name, from, f.recorder.Now()) }()
	switch fault.Kind {
	case schedule.KillNode:
		n.kill()
		wait()
		return n.start()
	case schedule.PlannedStop:
		f.slowAll(stopWork)
		_ = clock.Sleep(context.Background(), stopWork)
		n.stop()
		f.slowAll(-stopWork)
		wait()
		return n.start()
	case schedule.FreezeNode:
		n.signal(syscall.SIGSTOP)
		wait()
		n.signal(syscall.SIGCONT)
		f.disturb(history.Frozen, n.name, from, f.recorder.Now())
	case ChangeSettings:
		if err := n.writeSettings(n.told(false).TOML() + "# changed\n"); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	case InvalidSettings:
		if err := n.writeSettings(misspelt); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
		wait()
		if err := n.writeSettings(n.told(false).TOML()); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	case ReplaceNode:
		return f.replace(n, wait)
	case SilentStoreLink, ResetStoreLink:
		n.store.set(linkState{silent: fault.Kind == SilentStoreLink, reset: fault.Kind == ResetStoreLink})
		wait()
		n.store.set(linkState{reset: true}) // what a cut held up is lost
		n.store.set(linkState{})
	case StoreRejection:
		n.door.status.Store(http.StatusServiceUnavailable)
		wait()
		n.door.status.Store(0)
	default:
		return fmt.Errorf("%w: %s of %q", ErrUnknownFault, fault.Kind, fault.Target)
	}
	return nil
}

// slowAll makes all servers' work longer, so that requests are in flight at a planned stop.
func (f *fleet) slowAll(by time.Duration) {
	for _, s := range f.allServers() {
		s.Set(func() { s.ServiceTime = max(s.ServiceTime+by, 0) })
	}
}

// replace ends a node for good; another one comes in its place at another address.
func (f *fleet) replace(n *node, wait func()) error {
	n.mutex.Lock()
	n.gone = true
	n.mutex.Unlock()
	n.kill()
	wait()
	f.mutex.Lock()
	number := len(f.layout.Nodes) + f.replaced
	f.replaced++
	f.mutex.Unlock()
	successor, err := f.newNode(number)
	if err != nil {
		return err
	}
	successor.zone = n.zone
	f.addNode(successor)
	return successor.start()
}

// restartAll kills all nodes at once and starts them again.
func (f *fleet) restartAll(wait func()) error {
	from := f.recorder.Now()
	for _, n := range f.allNodes() {
		n.signal(syscall.SIGSTOP) // so that none sees another one end
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
	f.disturbAll(history.Isolated, from, f.recorder.Now())
	return nil
}

// darkenZone lets nothing in a zone answer for a while.
func (f *fleet) darkenZone(zone string, wait func()) {
	from := f.recorder.Now()
	var dark []*node
	for _, n := range f.allNodes() {
		if n.zone == zone {
			dark = append(dark, n)
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
	for _, n := range dark {
		n.signal(syscall.SIGCONT)
		f.disturb(history.Frozen, n.name, from, f.recorder.Now())
	}
}

// harmServer carries out what hits one server.
func (f *fleet) harmServer(fault schedule.Fault, s *server, wait func()) error {
	state := linkState{
		silent: fault.Kind == SilentLink, reset: fault.Kind == ResetLink, oneWay: fault.Kind == OneWayLink,
		drip: fault.Kind == TrickleLink, delay: 0,
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
	if odd, is := oddities[fault.Kind]; is {
		s.Set(func() { s.Fault = odd })
		wait()
		s.Set(func() { s.Fault = standin.NoFault })
		return nil
	}
	switch fault.Kind {
	case schedule.KillServer:
		return f.bringBack(s, wait, 0)
	case schedule.ColdStart:
		return f.bringBack(s, wait, warmup)
	case ReuseAddress:
		return f.reuse(s, wait)
	case RestartServer:
		return f.returnServer(s, wait)
	case schedule.Drain:
		f.drain(s)
		wait()
		_ = clock.Sleep(context.Background(), drainBound-f.since(s))
		return f.bringBack(s, func() {}, 0)
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

// oddities are the faults in which a server's answers are not proper.
var oddities = map[schedule.Kind]standin.ResponseFault{
	TruncateResponses: standin.Truncated, DuplicateResponses: standin.SentTwice, OmitResponseLength: standin.EndedByClose, ResetResponses: standin.EndedByReset,
}

// since is how long ago a server began to drain.
func (f *fleet) since(s *server) time.Duration { return f.recorder.Now() - s.drainedAt }

// drain has a server say that it is leaving.
func (f *fleet) drain(s *server) {
	s.Drain()
	f.mutex.Lock()
	s.drainedAt = f.recorder.Now()
	f.mutex.Unlock()
	f.recorder.Update(func(h *history.History) {
		h.Leaving = append(h.Leaving, history.ServerLeaving{Server: s.ID, At: s.drainedAt})
	})
}

// end ends a server for good.
func (f *fleet) end(s *server) {
	f.mutex.Lock()
	s.ended = true
	f.mutex.Unlock()
	s.Stop()
	f.store.RemoveServer(s.ID)
}

// crash ends a server without a word; its entry lapses later.
func (f *fleet) crash(s *server) {
	f.mutex.Lock()
	s.ended = true
	f.mutex.Unlock()
	s.Stop()
	time.AfterFunc(lapseTime, func() {
		if f.serverNamed(s.ID) == s { // else another life has written its entry
			f.store.RemoveServer(s.ID)
		}
	})
}

// returnServer ends a server, which comes back under its ID and at its address. One that has
// said that it is leaving stays away: what is judged of leaving servers goes by their IDs.
func (f *fleet) returnServer(s *server, wait func()) error {
	if f.hasEnded(s) || s.drainedAt > 0 {
		return nil
	}
	f.crash(s)
	s.link.set(linkState{reset: true})
	wait()
	f.mutex.Lock()
	f.returned++
	f.servers[fmt.Sprintf("%s, life %d", s.ID, f.returned)] = s
	f.mutex.Unlock()
	_, err := f.startServer(s.Service, s.number, s.set, s.shard, s.Version, s.link)
	s.link.set(linkState{})
	return err
}

// bringBack ends a server; another one of the same service comes once wait returns.
func (f *fleet) bringBack(s *server, wait func(), cold time.Duration) error {
	if f.hasEnded(s) {
		return nil
	}
	f.crash(s)
	s.link.close() // a dead port refuses
	wait()
	successor, err := f.startServer(s.Service, f.nextNumber(), s.set, s.shard, s.Version, nil)
	if err == nil && cold > 0 {
		successor.StartWarmup(cold)
	}
	return err
}

func (f *fleet) hasEnded(s *server) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return s.ended
}

// nextNumber is the number of the next server that comes back.
func (f *fleet) nextNumber() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.returned++
	return returnNumber + f.returned
}

// reuse ends a server; its address goes to one of another service, and its own service gets
// another server elsewhere.
func (f *fleet) reuse(s *server, wait func()) error {
	if f.hasEnded(s) {
		return nil
	}
	f.crash(s)
	_ = clock.Sleep(context.Background(), reuseGap)
	other := shardName(1, 0)
	if s.Service == other {
		other = shardName(1, 1)
	}
	_, shard := placeOf(other + "-")
	if _, err := f.startServer(other, f.nextNumber(), 1, shard, usualVersion, s.link); err != nil {
		return err
	}
	wait()
	_, err := f.startServer(s.Service, f.nextNumber(), s.set, s.shard, s.Version, nil)
	return err
}
