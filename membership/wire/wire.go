// Package wire converts member entries to and from their protobuf messages.
package wire

//go:generate protoc -I ../.. --go_out=../.. --go_opt=paths=source_relative membership/wire/member.proto

import (
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

var stateFromMessage = map[Member_State]membership.State{
	Member_STATE_LIVE:    membership.Live,
	Member_STATE_SUSPECT: membership.Suspect,
	Member_STATE_LEAVING: membership.Leaving,
	Member_STATE_GONE:    membership.Gone,
}

var stateToMessage = map[membership.State]Member_State{
	membership.Live:    Member_STATE_LIVE,
	membership.Suspect: Member_STATE_SUSPECT,
	membership.Leaving: Member_STATE_LEAVING,
	membership.Gone:    Member_STATE_GONE,
}

// FromMember converts a member to its message.
func FromMember(member membership.Member) *Member {
	return &Member{
		Id:          member.ID,
		Address:     member.Address,
		Zone:        member.Zone,
		Incarnation: member.Incarnation,
		State:       stateToMessage[member.State],
		Revision:    uint64(member.Revision),
		Details:     []byte(member.Details),
	}
}

// FromMembers converts members to messages.
func FromMembers(members []membership.Member) []*Member {
	messages := make([]*Member, 0, len(members))
	for _, member := range members {
		messages = append(messages, FromMember(member))
	}
	return messages
}

// ToMember converts a message to a member. ok is false if a field exceeds its limit.
func ToMember(message *Member) (member membership.Member, ok bool) {
	if message == nil {
		return membership.Member{}, false
	}
	member = membership.Member{
		ID:          message.GetId(),
		Address:     message.GetAddress(),
		Zone:        message.GetZone(),
		Incarnation: message.GetIncarnation(),
		State:       stateFromMessage[message.GetState()],
		Revision:    policy.Revision(message.GetRevision()),
		Details:     string(message.GetDetails()),
	}
	return member, member.Valid()
}

// ToMembers converts up to limit messages and omits invalid ones.
func ToMembers(messages []*Member, limit int) []membership.Member {
	messages = messages[:min(len(messages), limit)]
	members := make([]membership.Member, 0, len(messages))
	for _, message := range messages {
		if member, ok := ToMember(message); ok {
			members = append(members, member)
		}
	}
	return members
}
