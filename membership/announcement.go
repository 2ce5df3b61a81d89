package membership

import "time"

// scheduleAnnouncement arranges that a change is told to a few members soon, if those who choose
// nodes should know of it at once: a member may be lost, is well after all, or leaves.
// A member that is new or gone spreads with the probes: nobody waits for the one, and
// all who heard the suspicion find the other by themselves.
func (n *Nodes) scheduleAnnouncement(now time.Duration, before, after Member) {
	if n.options.AnnouncementFanout == 0 {
		return
	}
	if after.State == Suspect || after.State == Leaving || (after.State == Live && before.State == Suspect) {
		n.nextAnnouncement = min(n.nextAnnouncement, now+n.options.AnnouncementDelay)
	}
}

// announceUpdates sends the newest updates to a few members.
func (n *Nodes) announceUpdates() []Request {
	return n.announceTo(n.options.AnnouncementFanout)
}
