package gateway

import (
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/routing"
)

// fingerprintOf returns the fingerprint of a request: the hash of its method, host, target and body.
func fingerprintOf(request *exchange.Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(request.Method, request.Host, request.Target, request.Body)
}

// handleFinding publishes or counts what the router found out about requests that crash servers.
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

// ReceiveFinding handles a finding of another node.
func (g *Gateway) ReceiveFinding(finding quarantine.Finding) {
	g.step(routing.FindingReceived{Finding: finding})
}

// SetQuarantines sets the complete list of fingerprints that are quarantined in the registry.
func (g *Gateway) SetQuarantines(fingerprints []quarantine.Fingerprint) {
	g.step(routing.QuarantinesChanged{Contents: fingerprints})
}

// QuarantineCounts returns the number of quarantined fingerprints and the number of fingerprints
// with evidence against them.
func (g *Gateway) QuarantineCounts() (quarantines, suspects int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.QuarantineCounts()
}
