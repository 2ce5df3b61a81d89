package front

import (
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/rollout"
)

// maxPassGap is the time between two passes over the roll-outs from which on the process counts as
// suspended in between: what other nodes decided meanwhile is unknown until the next sync.
const maxPassGap = 5 * rolloutInterval

// viewHistory tracks which epochs of the registry this node has followed, and whether its view lacks what
// other nodes decided while its process was suspended. Times are on the gateway's clock.
type viewHistory struct {
	hasView bool
	epoch   discovery.Epoch
	// epochSeenAt is when the node first had a view of the epoch, and sawRestore says that it followed
	// the registry until then.
	epochSeenAt time.Duration
	sawRestore  bool
	// passing says that passes are made regularly, and passedAt when the last one began.
	passing  bool
	passedAt time.Duration
	// outdatedAt is when the view was last found to be outdated, and syncedAt the time as of which it is
	// complete.
	outdatedAt time.Duration
	syncedAt   time.Duration
}

// recordView records a view of an epoch as of syncedAt, received at now.
func (h *viewHistory) recordView(now, syncedAt time.Duration, epoch discovery.Epoch) {
	h.detectSuspension(now)
	if !h.hasView || epoch > h.epoch {
		h.sawRestore = h.hasView && !h.viewOutdated()
		h.hasView, h.epoch, h.epochSeenAt = true, epoch, now
	}
	h.recordSync(syncedAt)
}

// recordSync records that the view is complete as of the given time.
func (h *viewHistory) recordSync(syncedAt time.Duration) { h.syncedAt = max(h.syncedAt, syncedAt) }

// startPasses records at now that passes follow at regular intervals, until endPasses.
func (h *viewHistory) startPasses(now time.Duration) { h.passing, h.passedAt = true, now }

func (h *viewHistory) endPasses() { h.passing = false }

// recordPass records that a pass begins at now.
func (h *viewHistory) recordPass(now time.Duration) {
	h.detectSuspension(now)
	h.passedAt = now
}

// detectSuspension detects at now that a pass is long overdue.
func (h *viewHistory) detectSuspension(now time.Duration) {
	if h.passing && now-h.passedAt > maxPassGap {
		h.outdatedAt, h.passedAt = now, now
	}
}

// recordConflict records at now that the registry holds something else than the view.
func (h *viewHistory) recordConflict(now time.Duration) { h.outdatedAt = now }

// viewOutdated reports whether the view has not been synced since it was found to be outdated.
func (h *viewHistory) viewOutdated() bool { return h.syncedAt < h.outdatedAt }

// forDecider returns the history at now as deciders need it. grace is the time after a restore within
// which entries of servers that are gone expire.
func (h *viewHistory) forDecider(now, grace time.Duration) rollout.RegistryHistory {
	return rollout.RegistryHistory{
		EpochSeenAt: h.epochSeenAt, SawRestore: h.sawRestore, Grace: grace, ViewOutdated: h.viewOutdated(), ViewAge: now - h.syncedAt,
	}
}
