package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/quarantine"
)

const (
	// aggregatorCount is the number of nodes that merge the findings on a fingerprint.
	// Two of them may fail at the same time.
	aggregatorCount = 3
	// maxFindings limits the findings in a received datagram, maxCrashes the crashes in
	// a finding.
	maxFindings = 32
	maxCrashes  = 16
)

// PublishFinding sends a finding to the other nodes, or only to the fingerprint's
// aggregators if the audience is AudienceAggregators. Lost datagrams are not resent.
func (a *Agent) PublishFinding(finding quarantine.Finding, audience quarantine.Audience) {
	nodes := a.Nodes()
	if audience == quarantine.AudienceAggregators {
		nodes = AggregatorsFor(finding.Content, nodes)
	}
	a.mutex.Lock()
	conn := a.conn
	datagram := a.core.newDatagram(0, nil)
	a.mutex.Unlock()
	datagram.Body = &Datagram_Findings{Findings: &Findings{Findings: []*Finding{encodeFinding(finding)}}}
	packets := make([]packet, 0, len(nodes))
	for _, node := range nodes {
		if node.ID != a.options.Self.ID {
			packets = append(packets, packet{to: node.Gossip, datagram: datagram})
		}
	}
	a.send(conn, packets)
}

// AggregatorsFor returns the nodes that merge the findings on a fingerprint, in
// rendezvous order. Nodes with the same view of the members choose the same ones.
func AggregatorsFor(fingerprint quarantine.Fingerprint, nodes []discovery.Node) []discovery.Node {
	weights := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		weights[node.ID] = xxhash.Sum64String(node.ID + fingerprint.String())
	}
	ranked := slices.SortedFunc(slices.Values(nodes), func(x, y discovery.Node) int {
		return cmp.Or(cmp.Compare(weights[y.ID], weights[x.ID]), cmp.Compare(x.ID, y.ID))
	})
	return ranked[:min(len(ranked), aggregatorCount)]
}

// receiveFindings passes the findings of another node to Options.OnFinding and drops
// invalid ones.
func (a *Agent) receiveFindings(message *Findings) {
	if len(message.GetFindings()) > maxFindings {
		a.counters.failures.WithLabelValues("findings").Inc()
		return
	}
	for _, encoded := range message.GetFindings() {
		finding, ok := decodeFinding(encoded)
		if !ok {
			a.counters.failures.WithLabelValues("finding").Inc()
			continue
		}
		if a.options.OnFinding != nil {
			a.options.OnFinding(finding)
		}
	}
}

func encodeFinding(finding quarantine.Finding) *Finding {
	encoded := &Finding{
		Content: finding.Content[:], Answered: finding.Answered, Quarantined: finding.Quarantined, Wide: finding.Wide,
	}
	for _, crash := range finding.Crashes {
		if crash.Alone {
			encoded.Alone = append(encoded.Alone, uint64(crash.ServerIncarnation))
			continue
		}
		encoded.Together = append(encoded.Together, uint64(crash.ServerIncarnation))
	}
	return encoded
}

// decodeFinding converts a message to a finding. ok is false if the fingerprint's length
// is wrong or there are more than maxCrashes crashes.
func decodeFinding(message *Finding) (finding quarantine.Finding, ok bool) {
	content := message.GetContent()
	if len(content) != len(finding.Content) || len(message.GetAlone())+len(message.GetTogether()) > maxCrashes {
		return finding, false
	}
	finding = quarantine.Finding{
		Content: quarantine.Fingerprint(content), Answered: message.GetAnswered(),
		Quarantined: message.GetQuarantined(), Wide: message.GetWide(),
	}
	for _, incarnation := range message.GetAlone() {
		finding.Crashes = append(finding.Crashes, quarantine.Crash{ServerIncarnation: quarantine.Incarnation(incarnation), Alone: true})
	}
	for _, incarnation := range message.GetTogether() {
		finding.Crashes = append(finding.Crashes, quarantine.Crash{ServerIncarnation: quarantine.Incarnation(incarnation)})
	}
	return finding, true
}
