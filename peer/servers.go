package peer

import (
	"sync"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
)

// serverTable holds the agent's state about back-end servers.
type serverTable struct {
	// mutex guards the fields below. Invariant: notifications holds, in order,
	// the changes that subscribers have not received yet, and only the goroutine
	// that set notifying calls subscribers, without holding mutex.
	mutex         sync.Mutex
	core          *membership.Servers
	subscribers   []subscriber
	notifications []queuedNotification
	notifying     bool
	// onUnverified is called with the ID of each server whose health this node
	// should check; it is set once.
	onUnverified func(server string)
	// findingsReady wakes the loop that pushes findings; it buffers one signal.
	findingsReady chan struct{}
}

type subscriber func(id string, state dispatch.ServerState)

// queuedNotification is a change to be passed to subscribers.
type queuedNotification struct {
	change membership.ServerChange
	to     []subscriber
}

// update applies change to the server table with mutex held. After releasing it,
// update notifies subscribers, wakes the loop that pushes findings if there are
// any, and reports the servers that this node should check.
func (t *serverTable) update(change func(*membership.Servers)) {
	t.mutex.Lock()
	change(t.core)
	t.enqueue(t.core.TakeChanges(), t.subscribers)
	unverified, onUnverified := t.core.TakeUnverified(), t.onUnverified
	found := t.core.HasFindings()
	t.mutex.Unlock()
	t.notifySubscribers()
	if found {
		t.wakeFindingLoop()
	}
	for _, server := range unverified {
		if onUnverified != nil {
			onUnverified(server)
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

// receiveLeavingServers records leaving servers that another node reported.
func (a *Agent) receiveLeavingServers(messages []*ServerLeaving) {
	leavings := leavingServersFromWire(messages)
	if len(leavings) == 0 {
		return
	}
	a.servers.update(func(core *membership.Servers) { core.ReceiveLeavings(a.now(), leavings) })
}

// takeLeavingServers returns the leaving servers to be included in the next
// gossip message.
func (a *Agent) takeLeavingServers() []*ServerLeaving {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	return leavingServersToWire(a.servers.core.TakeLeavings())
}

// subscribe adds a subscriber and queues the states of all known servers for it.
func (t *serverTable) subscribe(notify subscriber) {
	t.mutex.Lock()
	t.subscribers = append(t.subscribers[:len(t.subscribers):len(t.subscribers)], notify)
	t.enqueue(t.core.States(), []subscriber{notify})
	t.mutex.Unlock()
	t.notifySubscribers()
}

// enqueue queues changes for subscribers. The caller must hold t.mutex.
func (t *serverTable) enqueue(changes []membership.ServerChange, to []subscriber) {
	for _, change := range changes {
		t.notifications = append(t.notifications, queuedNotification{change: change, to: to})
	}
}

// notifySubscribers delivers queued changes, unless another goroutine is already
// doing so.
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

// notifyChange passes one change to its subscribers. The caller must hold
// t.mutex, which is released during the calls.
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
