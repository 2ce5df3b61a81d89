package peer

import (
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

var stateFromWire = map[Member_State]membership.State{
	Member_STATE_LIVE:    membership.Live,
	Member_STATE_SUSPECT: membership.Suspect,
	Member_STATE_LEAVING: membership.Leaving,
	Member_STATE_GONE:    membership.Gone,
}

var stateToWire = map[membership.State]Member_State{
	membership.Live:    Member_STATE_LIVE,
	membership.Suspect: Member_STATE_SUSPECT,
	membership.Leaving: Member_STATE_LEAVING,
	membership.Gone:    Member_STATE_GONE,
}

// toWire converts a member to its message.
func toWire(member membership.Member) *Member {
	return &Member{
		Id:          member.ID,
		Address:     member.Address,
		Zone:        member.Zone,
		Incarnation: member.Incarnation,
		State:       stateToWire[member.State],
		Revision:    uint64(member.Revision),
	}
}

func allToWire(members []membership.Member) []*Member {
	messages := make([]*Member, 0, len(members))
	for _, member := range members {
		messages = append(messages, toWire(member))
	}
	return messages
}

// fromWire converts a message; ok is false when a field is out of its bounds.
func fromWire(message *Member) (member membership.Member, ok bool) {
	if message == nil {
		return membership.Member{}, false
	}
	member = membership.Member{
		ID:          message.GetId(),
		Address:     message.GetAddress(),
		Zone:        message.GetZone(),
		Incarnation: message.GetIncarnation(),
		State:       stateFromWire[message.GetState()],
		Revision:    policy.Revision(message.GetRevision()),
	}
	return member, member.Valid()
}

// allFromWire converts at most limit messages and leaves out those that are
// out of bounds.
func allFromWire(messages []*Member, limit int) []membership.Member {
	messages = messages[:min(len(messages), limit)]
	members := make([]membership.Member, 0, len(messages))
	for _, message := range messages {
		if member, ok := fromWire(message); ok {
			members = append(members, member)
		}
	}
	return members
}

func leavingsToWire(leavings []membership.ServerLeaving) []*ServerLeaving {
	messages := make([]*ServerLeaving, 0, len(leavings))
	for _, leaving := range leavings {
		messages = append(messages, &ServerLeaving{Id: leaving.ID, Incarnation: leaving.Incarnation})
	}
	return messages
}

func leavingsFromWire(messages []*ServerLeaving) []membership.ServerLeaving {
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
