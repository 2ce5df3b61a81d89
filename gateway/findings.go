package gateway

import (
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/routing"
)

// fingerprintOf names what a request asks for.
func fingerprintOf(request *exchange.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(request.Method, request.Host, request.Target, request.Body)
}

// handleFinding passes on what the router found out of a request.
func (g *Gateway) handleFinding(action routing.Action) {
	switch action := action.(type) {
	case routing.PublishFinding:
		g.options.Logger.Info().Stringer("content", action.Finding.Content).Int("ends", len(action.Finding.Crashes)).
			Bool("answered", action.Finding.Answered).Bool("quarantined", action.Finding.Quarantined).
			Bool("wide", action.Finding.Wide).Msg("finding on a request that ended servers")
		if g.options.Findings != nil {
			g.options.Findings.Publish(action.Finding, action.Audience)
		}
	case routing.RecordQuarantine:
		g.options.Logger.Warn().Stringer("content", action.Content).Msg("requests are refused that end servers")
		g.counters.quarantined.Inc()
		if g.options.Findings != nil {
			g.options.Findings.RecordQuarantine(action.Content)
		}
	case routing.QuarantinedRequestRejected:
		g.counters.quarantineRejections.Inc()
		if g.options.Findings != nil {
			g.options.Findings.QuarantinedRequestRejected(action.Content)
		}
	}
}

// ReceiveFinding takes another node's finding.
func (g *Gateway) ReceiveFinding(finding quarantine.Finding) {
	g.step(routing.FindingReceived{Finding: finding})
}

// SetQuarantines takes all contents that the registry says are to be refused.
func (g *Gateway) SetQuarantines(fingerprints []quarantine.Fingerprint) {
	g.step(routing.QuarantinesChanged{Contents: fingerprints})
}

// QuarantineCounts is the number of contents that are refused, and that of those of which something
// is known.
func (g *Gateway) QuarantineCounts() (quarantines, suspects int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.QuarantineCounts()
}
