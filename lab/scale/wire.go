package scale

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
)

// Paths of the peers' calls, as twirp makes them.
const (
	gossipPath   = "/twirp/banksail.peer.v1.Peer/Gossip"
	indirectPath = "/twirp/banksail.peer.v1.Peer/ProbeIndirect"
	membersPath  = "/twirp/banksail.peer.v1.Peer/ListMembers"
	fetchPath    = "/twirp/banksail.peer.v1.Peer/FetchConfiguration"
	pushPath     = "/twirp/banksail.peer.v1.Peer/PushConfiguration"
)

const (
	protobufType = "application/protobuf"
	anyAddress   = "10.0.0.1:7001"
	httpDate     = "Wed, 02 Dec 2026 07:00:00 GMT"
)

// requestBytes is the size of a twirp request on the wire: HTTP/1.1 request
// line, headers and a body of the given size.
func requestBytes(path string, bodyBytes int) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+anyAddress+path, bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return 0, fmt.Errorf("scale: request: %w", err)
	}
	request.Header.Set("Accept", protobufType)
	request.Header.Set("Content-Type", protobufType)
	request.Header.Set("Twirp-Version", "v8.1.3")
	request.Header.Set("Accept-Encoding", "gzip")
	var size byteCounter
	if err := request.Write(&size); err != nil {
		return 0, fmt.Errorf("scale: request: %w", err)
	}
	return int(size), nil
}

// responseBytes is the size of a twirp response on the wire.
func responseBytes(bodyBytes int) (int, error) {
	response := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(bodyBytes), Body: io.NopCloser(bytes.NewReader(make([]byte, bodyBytes))),
		Header: http.Header{"Content-Type": {protobufType}, "Date": {httpDate}},
	}
	var size byteCounter
	if err := response.Write(&size); err != nil {
		return 0, fmt.Errorf("scale: response: %w", err)
	}
	return int(size), nil
}

// byteCounter counts what is written to it.
type byteCounter int

// Write counts the bytes and drops them.
func (c *byteCounter) Write(data []byte) (int, error) {
	*c += byteCounter(len(data))
	return len(data), nil
}

// envelope caches the bytes that HTTP adds to bodies; the length of the
// Content-Length header's number is taken at a body of a usual size.
type envelope struct {
	request  map[string]int
	response int
}

const usualBodyBytes = 500

func newEnvelope() (envelope, error) {
	sizes := envelope{request: make(map[string]int)}
	for _, path := range []string{gossipPath, indirectPath, membersPath, fetchPath, pushPath} {
		size, err := requestBytes(path, usualBodyBytes)
		if err != nil {
			return envelope{}, err
		}
		sizes.request[path] = size - usualBodyBytes
	}
	size, err := responseBytes(usualBodyBytes)
	sizes.response = size - usualBodyBytes
	return sizes, err
}

// carried passes a message through its real encoding and returns its size.
func carried[M proto.Message](message, into M) (int, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0, fmt.Errorf("scale: encode: %w", err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		return 0, fmt.Errorf("scale: decode: %w", err)
	}
	return len(data), nil
}

var wireStates = map[membership.State]peer.Member_State{
	membership.Live:    peer.Member_STATE_LIVE,
	membership.Suspect: peer.Member_STATE_SUSPECT,
	membership.Leaving: peer.Member_STATE_LEAVING,
	membership.Gone:    peer.Member_STATE_GONE,
}

func memberMessage(member membership.Member) *peer.Member {
	return &peer.Member{
		Id: member.ID, Address: member.Address, Zone: member.Zone, Incarnation: member.Incarnation,
		State: wireStates[member.State], Revision: uint64(member.Revision),
	}
}

func memberMessages(members []membership.Member) []*peer.Member {
	messages := make([]*peer.Member, 0, len(members))
	for _, member := range members {
		messages = append(messages, memberMessage(member))
	}
	return messages
}
