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
	mutex         sync.Mutex
	core          *membership.Servers
	subscribers   []subscriber
	notifications []queuedNotification
	notifying     bool
	// onUnverified is told of the servers that the node is to read; it is set once.
	onUnverified func(server string)
	// findingsReady wakes the loop that pushes findings; it holds one token.
	findingsReady chan struct{}
}

type subscriber func(id string, state dispatch.ServerState)

// queuedNotification is a change that waits to be told to subscribers.
type queuedNotification struct {
	change membership.ServerChange
	to     []subscriber
}

func (t *serverTable) update(change func(*membership.Servers)) {
	t.mutex.Lock()
	change(t.core)
	t.enqueue(t.core.TakeChanges(), t.subscribers)
	unverified, doubted := t.core.TakeUnverified(), t.onUnverified
	found := t.core.HasFindings()
	t.mutex.Unlock()
	t.notifySubscribers()
	if found {
		t.wakeFindingLoop()
	}
	for _, server := range unverified {
		if doubted != nil {
			doubted(server)
		}
	}
}

// wakeFindingLoop wakes the loop that pushes findings.
func (t *serverTable) wakeFindingLoop() {
	select {
	case t.findingsReady <- struct{}{}:
	default:
	}
}

// receiveLeavingServers takes in the leavings that another node told.
func (a *Agent) receiveLeavingServers(messages []*ServerLeaving) {
	leavings := leavingServersFromWire(messages)
	if len(leavings) == 0 {
		return
	}
	a.servers.update(func(core *membership.Servers) { core.ReceiveLeavings(a.now(), leavings) })
}

// takeLeavingServers returns the leavings to tell another node.
func (a *Agent) takeLeavingServers() []*ServerLeaving {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	return leavingServersToWire(a.servers.core.TakeLeavings())
}

func (t *serverTable) subscribe(notify subscriber) {
	t.mutex.Lock()
	t.subscribers = append(t.subscribers[:len(t.subscribers):len(t.subscribers)], notify)
	t.enqueue(t.core.States(), []subscriber{notify})
	t.mutex.Unlock()
	t.notifySubscribers()
}

// enqueue is called under the lock.
func (t *serverTable) enqueue(changes []membership.ServerChange, to []subscriber) {
	for _, change := range changes {
		t.notifications = append(t.notifications, queuedNotification{change: change, to: to})
	}
}

// notifySubscribers tells subscribers what waits, unless another goroutine does.
func (t *serverTable) notifySubscribers() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.notifying {
		return
	}
	t.notifying = true
	defer func() { t.notifying = false }()
	for len(t.notifications) > 0 {
		next := t.notifications[0]
		t.notifications = t.notifications[1:]
		t.notifyChange(next)
	}
}

// notifyChange is called under the lock, which it gives up for the calls.
func (t *serverTable) notifyChange(next queuedNotification) {
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
