package peer

import (
	"bytes"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/wire"
)

// postToAgent sends a request body to one of the agent's methods.
func postToAgent(agent *Agent, method string, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, PeerPathPrefix+method, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/protobuf")
	recorder := httptest.NewRecorder()
	agent.Handler().ServeHTTP(recorder, request)
	return recorder
}

func marshal(t testing.TB, message proto.Message) []byte {
	t.Helper()
	body, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// manyMembers returns far more entries than a receiver accepts.
func manyMembers() []*wire.Member {
	return make([]*wire.Member, 5000)
}

func memberMessage(id string) *wire.Member {
	self := member(id)
	self.State = membership.Live
	return wire.FromMember(self)
}

func FuzzHandler(f *testing.F) {
	methods := []string{"Gossip", "ListMembers", "FetchConfiguration", "PushConfiguration", "ForwardQuery", "ReadServerHealth"}
	strange := memberMessage("n2")
	strange.Incarnation = math.MaxUint64
	strange.State = 99
	f.Add(0, marshal(f, &GossipRequest{Sender: memberMessage("n2"), Updates: []*wire.Member{strange, memberMessage("n1")}}))
	f.Add(0, marshal(f, &GossipRequest{Sender: memberMessage("n2"), Updates: manyMembers()}))
	f.Add(0, marshal(f, &GossipRequest{Sender: memberMessage("n2"), LeavingServers: make([]*ServerLeaving, 5000)}))
	f.Add(1, marshal(f, &ListMembersRequest{Sender: memberMessage("n2"), Digests: make([]uint64, 5000), FirstBucket: math.MaxUint32}))
	f.Add(2, marshal(f, &FetchConfigurationRequest{Above: math.MaxUint64}))
	f.Add(3, marshal(f, &Configuration{Revision: math.MaxUint64, Record: []byte("{")}))
	f.Add(4, marshal(f, &ForwardQueryRequest{Server: "s", RemainingMs: math.Inf(1), Range: &KeyRange{Start: 2, End: 1}}))
	f.Add(4, marshal(f, forwardToWire("s", testRequest())))
	f.Add(5, marshal(f, &ServerHealthRequest{Server: "s"}))
	f.Add(0, []byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, method int, body []byte) {
		agent := NewAgent(AgentOptions{Self: member("n1"), Configurations: &memoryConfigurationSource{}, Seed: 1})
		recorder := postToAgent(agent, methods[uint(method)%uint(len(methods))], body)
		if recorder.Code == http.StatusInternalServerError {
			t.Fatalf("internal error: %s", recorder.Body)
		}
		if known := len(agent.Members()); known > membership.MaximumUpdates+2 {
			t.Fatalf("the table has %d members after one message", known)
		}
		for _, known := range agent.Members() {
			if !known.Valid() {
				t.Fatalf("the table holds an invalid member: %+v", known)
			}
		}
	})
}

func TestOversizedBodiesAreRejected(t *testing.T) {
	agent := NewAgent(AgentOptions{Self: member("n1"), Configurations: &memoryConfigurationSource{}})
	for method, size := range map[string]int{
		"Gossip": maximumGossipBytes + 1, "PushConfiguration": maximumRequestBytes + 1,
	} {
		if recorder := postToAgent(agent, method, make([]byte, size)); recorder.Code == http.StatusOK {
			t.Fatalf("%s accepted a body of %d bytes", method, size)
		}
	}
}

func FuzzReplies(f *testing.F) {
	f.Add(marshal(f, &GossipResponse{Responder: memberMessage("n2"), Updates: manyMembers()}))
	f.Add(marshal(f, &ListMembersResponse{Responder: memberMessage("n2"), Members: manyMembers(), More: true, NextBucket: math.MaxUint32}))
	f.Add(marshal(f, &ProbeIndirectResponse{Reached: true}))
	f.Add(marshal(f, &Configuration{Revision: 1}))
	f.Add([]byte{0x12, 0xff})
	kinds := []membership.RequestKind{membership.DirectProbe, membership.IndirectProbe, membership.Sync}
	f.Fuzz(func(t *testing.T, body []byte) {
		client := &http.Client{Transport: fixedReplyTransport(body)}
		agent := NewAgent(AgentOptions{Self: member("n1"), HTTPClient: client, Seed: 1})
		to := member("n2")
		to.State = membership.Live
		agent.nodes.core.Receive(0, to, nil)
		for _, kind := range kinds {
			request := membership.Request{Kind: kind, To: to, Target: to, Sender: agent.Self()}
			result, err := agent.exchange(t.Context(), request)
			if err == nil && len(result.Updates) > membership.MaximumSyncMembers {
				t.Fatalf("accepted %d updates from one reply", len(result.Updates))
			}
		}
		if revision, record, err := agent.Fetch(t.Context(), "n2", 0); err == nil && revision > 0 && len(record) == 0 {
			t.Fatal("fetch returned a revision without a record")
		}
	})
}

// fixedReplyTransport responds to every request with the same body.
type fixedReplyTransport []byte

func (r fixedReplyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	recorder.Header().Set("Content-Type", "application/protobuf")
	recorder.Write(r)
	response := recorder.Result()
	response.Request = request
	return response, nil
}
