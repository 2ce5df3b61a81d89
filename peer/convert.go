package peer

import "github.com/banksail/banksail/membership"

func leavingServersToWire(leavings []membership.ServerLeaving) []*ServerLeaving {
	messages := make([]*ServerLeaving, 0, len(leavings))
	for _, leaving := range leavings {
		messages = append(messages, &ServerLeaving{Id: leaving.ID, Incarnation: leaving.Incarnation})
	}
	return messages
}

// leavingServersFromWire decodes at most membership.MaximumServerLeavings
// entries and skips invalid ones.
func leavingServersFromWire(messages []*ServerLeaving) []membership.ServerLeaving {
	messages = messages[:min(len(messages), membership.MaximumServerLeavings)]
	leavings := make([]membership.ServerLeaving, 0, len(messages))
	for _, message := range messages {
		leaving := membership.ServerLeaving{ID: message.GetId(), Incarnation: message.GetIncarnation()}
		if leaving.Valid() {
			leavings = append(leavings, leaving)
		}
	}
	return leavings
}
