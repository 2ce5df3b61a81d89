package peer

import (
	"sync"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
)

// serverTable is the shard of the agent's state about servers.
type serverTable struct {
	// mutex guards the fields below. Invariant: deliveries holds the changes
	// that subscribers have not seen yet, in order, and only the goroutine that
	// set delivering calls subscribers, without holding mutex.
	mutex       sync.Mutex
	core        *membership.Servers
	subscribers []subscriber
	deliveries  []delivery
	delivering  bool
	// doubted is told of the servers that the node is to read; it is set once.
	doubted func(server string)
	// foundNews wakes the loop that pushes findings; it holds one token.
	foundNews chan struct{}
}

type subscriber func(id string, state dispatch.ServerState)

// delivery is a change that waits to be told to subscribers.
type delivery struct {
	change membership.ServerChange
	to     []subscriber
}

func (t *serverTable) update(change func(*membership.Servers)) {
	t.mutex.Lock()
	change(t.core)
	t.queue(t.core.TakeChanges(), t.subscribers)
	doubts, doubted := t.core.TakeUnverified(), t.doubted
	found := t.core.HasFindings()
	t.mutex.Unlock()
	t.deliver()
	if found {
		t.wakePushes()
	}
	for _, server := range doubts {
		if doubted != nil {
			doubted(server)
		}
	}
}

// wakePushes wakes the loop that pushes findings.
func (t *serverTable) wakePushes() {
	select {
	case t.foundNews <- struct{}{}:
	default:
	}
}

// receiveLeavings takes in the leavings that another node told.
func (a *Agent) receiveLeavings(messages []*ServerLeaving) {
	leavings := leavingsFromWire(messages)
	if len(leavings) == 0 {
		return
	}
	a.servers.update(func(core *membership.Servers) { core.ReceiveLeavings(a.now(), leavings) })
}

// takeLeavings returns the leavings to tell another node.
func (a *Agent) takeLeavings() []*ServerLeaving {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	return leavingsToWire(a.servers.core.TakeLeavings())
}

func (t *serverTable) subscribe(notify subscriber) {
	t.mutex.Lock()
	t.subscribers = append(t.subscribers[:len(t.subscribers):len(t.subscribers)], notify)
	t.queue(t.core.States(), []subscriber{notify})
	t.mutex.Unlock()
	t.deliver()
}

// queue is called under the lock.
func (t *serverTable) queue(changes []membership.ServerChange, to []subscriber) {
	for _, change := range changes {
		t.deliveries = append(t.deliveries, delivery{change: change, to: to})
	}
}

// deliver tells subscribers what waits, unless another goroutine does.
func (t *serverTable) deliver() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.delivering {
		return
	}
	t.delivering = true
	defer func() { t.delivering = false }()
	for len(t.deliveries) > 0 {
		next := t.deliveries[0]
		t.deliveries = t.deliveries[1:]
		t.tell(next)
	}
}

// tell is called under the lock, which it gives up for the calls.
func (t *serverTable) tell(next delivery) {
	t.mutex.Unlock()
	defer t.mutex.Lock()
	for _, notify := range next.to {
		notify(next.change.ID, dispatchState(next.change.State))
	}
}

func dispatchState(state membership.State) dispatch.ServerState {
	switch state {
	case membership.Suspect:
		return dispatch.ServerSuspect
	case membership.Leaving:
		return dispatch.ServerLeaving
	case membership.Gone:
		return dispatch.ServerGone
	default:
		return dispatch.ServerLive
	}
}
