package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/banksail/banksail/membership"
)

// BenchmarkExchange measures one gossip exchange over loopback, including both
// sides, with a full message in each direction and a table of 1,400 members. A
// node initiates about one exchange per second and answers about one.
func BenchmarkExchange(b *testing.B) {
	for name, keepAlive := range map[string]bool{"connection=kept": true, "connection=new": false} {
		b.Run(name, func(b *testing.B) { benchmarkExchange(b, keepAlive) })
	}
}

func benchmarkExchange(b *testing.B, keepAlive bool) {
	target := NewAgent(AgentOptions{Self: member("target"), Seed: 1})
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	transport := &http.Transport{DisableKeepAlives: !keepAlive}
	defer transport.CloseIdleConnections()
	agent := NewAgent(AgentOptions{Self: member("self"), HTTPClient: &http.Client{Transport: transport}, Seed: 2})
	to := member("target")
	to.Address = server.Listener.Addr().String()
	to.State = membership.Live
	updates := liveMembers(membership.MaximumUpdates)
	for _, known := range liveMembers(1400) {
		target.nodes.core.Receive(0, known, nil)
	}
	b.ReportAllocs()
	for b.Loop() {
		request := membership.Request{Kind: membership.DirectProbe, To: to, Sender: agent.Self(), Updates: updates}
		if _, err := agent.gossip(b.Context(), request); err != nil {
			b.Fatal(err)
		}
	}
}

// liveMembers returns count live members with different IDs.
func liveMembers(count int) []membership.Member {
	members := make([]membership.Member, 0, count)
	for i := range count {
		known := member(string(rune('a'+i%26)) + addressOf(string(rune(i))))
		known.State = membership.Live
		members = append(members, known)
	}
	return members
}
