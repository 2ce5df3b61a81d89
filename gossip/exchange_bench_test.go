package gossip

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/membership"
)

// BenchmarkExchange measures a probe and its reply over loopback, both ends included, with
// the maximum number of updates each way and a table of 1,400 members. The benchmark of the
// same name in package peer measures the same exchange over Twirp.
func BenchmarkExchange(b *testing.B) {
	target := newBenchExchanger(b, 1)
	updates := benchMembers(b, membership.MaximumUpdates)
	for _, known := range benchMembers(b, 1400) {
		target.nodes.Receive(0, known, nil)
	}
	requester := newBenchExchanger(b, 2)
	request := requester.newDatagram(1, updates)
	request.Body = &Datagram_Probe{Probe: &Probe{}}
	clientConn, serverConn := listenBench(b), listenBench(b)
	go serveBench(serverConn, target)
	buffer := make([]byte, maxDatagramBytes)
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := proto.Marshal(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := clientConn.WriteTo(encoded, serverConn.LocalAddr()); err != nil {
			b.Fatal(err)
		}
		length, _, err := clientConn.ReadFrom(buffer)
		if err != nil {
			b.Fatal(err)
		}
		var reply Datagram
		if err := proto.Unmarshal(buffer[:length], &reply); err != nil {
			b.Fatal(err)
		}
		requester.receive(0, "10.0.0.1:1", &reply)
		bytes += len(encoded) + length
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/exchange")
}

// serveBench replies to datagrams until the socket is closed.
func serveBench(conn net.PacketConn, core *exchanger) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var datagram Datagram
		if proto.Unmarshal(buffer[:length], &datagram) != nil {
			continue
		}
		for _, outgoing := range core.receive(0, from.String(), &datagram) {
			encoded, err := proto.Marshal(outgoing.datagram)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(encoded, from)
		}
	}
}

func listenBench(b *testing.B) net.PacketConn {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func newBenchExchanger(b *testing.B, number int) *exchanger {
	return newExchanger(membership.NewNodes(membershipOptions(benchMember(b, number), 1)), 1<<63)
}

func benchMember(b *testing.B, number int) membership.Member {
	host := fmt.Sprintf("10.1.%d.%d", number/250, number%250)
	member, err := memberFromNode(discovery.Node{
		ID: fmt.Sprintf("node-%04d", number), Zone: "zone-1",
		Gossip: host + ":7380", Address: host + ":8104", Peer: host + ":8106", Capacity: 0.192,
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	return member
}

func benchMembers(b *testing.B, count int) []membership.Member {
	members := make([]membership.Member, 0, count)
	for number := range count {
		members = append(members, benchMember(b, number+10))
	}
	return members
}
