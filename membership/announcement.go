package membership

import "time"

// scheduleAnnouncement schedules an announcement if the change affects whom other nodes
// send work to: a new suspicion, its refutation, or a planned departure. New and gone
// members are only piggybacked on probes: new members are not urgent, and nodes that
// know of the suspicion detect its expiry themselves.
func (n *Nodes) scheduleAnnouncement(now time.Duration, before, after Member) {
	if n.options.AnnouncementFanout == 0 {
		return
	}
	if after.State == Suspect || after.State == Leaving || (after.State == Live && before.State == Suspect) {
		n.nextAnnouncement = min(n.nextAnnouncement, now+n.options.AnnouncementDelay)
	}
}

// announceUpdates sends the newest updates to AnnouncementFanout members.
func (n *Nodes) announceUpdates() []Request {
	return n.announceTo(n.options.AnnouncementFanout)
}
