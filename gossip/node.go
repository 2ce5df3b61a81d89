package gossip

import (
	"fmt"
	"math"
	"net"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/membership"
)

// memberFromNode returns the live member entry of a node. It fails if the entry is
// invalid.
func memberFromNode(node discovery.Node, incarnation uint64) (membership.Member, error) {
	member := membership.Member{
		ID: node.ID, Address: node.Gossip, Zone: node.Zone, Incarnation: incarnation, State: membership.Live,
	}
	details, err := encodeDetails(node)
	if err != nil {
		return membership.Member{}, err
	}
	member.Details = details
	if !member.Valid() {
		return membership.Member{}, fmt.Errorf("gossip: invalid entry of node %q: a field is missing or exceeds its limit", node.ID)
	}
	return member, nil
}

// encodeDetails encodes the properties of a node that Member has no field for.
func encodeDetails(node discovery.Node) (string, error) {
	encoded, err := proto.Marshal(&NodeDetails{
		Callers:  portOf(node.Address),
		Peer:     portOf(node.Peer),
		Capacity: uint32(math.Round(max(node.Capacity, 0) * millicores)),
		Busy:     node.Busy,
		Unable:   node.Unable,
	})
	if err != nil {
		return "", fmt.Errorf("gossip: encoding the details of node %q: %w", node.ID, err)
	}
	return string(encoded), nil
}

// millicores is the number of millicores in a core.
const millicores = 1000

// nodeFromMember converts a member entry to a node. It does not set the region, which
// follows from the zone. ok is false if the details or the address cannot be parsed.
func nodeFromMember(member membership.Member) (node discovery.Node, ok bool) {
	var details NodeDetails
	if err := proto.Unmarshal([]byte(member.Details), &details); err != nil {
		return discovery.Node{}, false
	}
	host, _, err := net.SplitHostPort(member.Address)
	if err != nil {
		return discovery.Node{}, false
	}
	return discovery.Node{
		ID:       member.ID,
		Gossip:   member.Address,
		Address:  joinHostPort(host, details.GetCallers()),
		Peer:     joinHostPort(host, details.GetPeer()),
		Zone:     member.Zone,
		Capacity: float64(details.GetCapacity()) / millicores,
		Busy:     details.GetBusy(),
		Unable:   details.GetUnable(),
		Leaving:  member.State == membership.Leaving,
		Suspect:  member.State == membership.Suspect,
	}, true
}

// portOf returns the port of an address, or 0 if there is none.
func portOf(address string) uint32 {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return uint32(port)
}

// joinHostPort returns the address of a port on host, or "" if the port is 0.
func joinHostPort(host string, port uint32) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.FormatUint(uint64(port), 10))
}
