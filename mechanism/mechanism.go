// Package mechanism names the mechanisms that a node decides with, so that each can
// be switched off to measure what it is worth. It is for diagnosis: a node without
// some of them is worse, and keeps all promises all the same.
package mechanism

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one of them.
type Mechanism int

// The mechanisms, by the package that has them.
const (
	// Hedges: a second server is asked when the first takes long (routing).
	Hedging Mechanism = iota
	// TimelyHedges: no hedge that can't answer by the aim (routing).
	TimelyHedges
	// Slowness: servers are chosen by how slow their answers were (routing).
	LatencyRanking
	// Overdue: attempts that have not ended are evidence, too (routing).
	OverdueAttempts
	// Probes: slow servers are tried again by single requests (routing).
	SlowServerProbes
	// Unreachable: servers to which no connection opens are set aside (routing).
	UnreachableServers
	// UnreachableZones: a zone from which nothing comes is set aside whole (routing).
	UnreachableZones
	// Load: what servers tell of their load counts (routing).
	ReportedLoad
	// Nearness: servers that are near are preferred (routing).
	Locality
	// EarlyRejection: what would wait too long is refused at once (routing).
	EarlyRejection
	// PriorityRejection: less urgent requests are refused as often as urgent ones (routing).
	PriorityRejection
	// RetryAdmission: callers that tried before are taken while crowding is brief (routing).
	RetryAdmission
	// RestartConnectionLimit: a fresh incarnation uses half of its connections (routing).
	RestartConnectionLimit
	// TableWait: a starting node's first requests wait for the table (gateway).
	TableWait
	// Capable: callers are sent to the most capable nodes (directory).
	CapableNodes
	// Readers: few nodes read the registry and tell the others (discovery).
	RegistryReaders
	// Doubt: entries that went during an outage are kept for a while (discovery).
	OutageRetention
	// Quarantine: requests that end the servers that run them are refused (quarantine).
	Quarantine
	mechanismCount
)

var names = [mechanismCount]string{
	"hedges", "hedges-in-time", "slowness", "overdue", "probes", "unreachable", "dark-zones", "load", "nearness",
	"early-refusal", "fair-refusal", "last-tries", "fresh-connections", "table-wait", "capable", "readers", "doubt",
	"quarantine",
}

// String is the mechanism's name.
func (m Mechanism) String() string { return names[m] }

// Names lists all mechanisms' names.
func Names() []string { return slices.Clone(names[:]) }

// ErrUnknown is wrapped for a name that is no mechanism's.
var ErrUnknown = errors.New("no such mechanism")

// Disabled is the set of mechanisms that are switched off; the zero value is none.
type Disabled uint32

// Disable returns the set of the mechanisms given.
func Disable(mechanisms ...Mechanism) Disabled {
	var disabled Disabled
	for _, m := range mechanisms {
		disabled |= 1 << m
	}
	return disabled
}

// Parse reads names separated by commas; its error names the one that is unknown.
func Parse(text string) (Disabled, error) {
	var disabled Disabled
	if text == "" {
		return disabled, nil
	}
	for name := range strings.SplitSeq(text, ",") {
		index := slices.Index(names[:], name)
		if index < 0 {
			return 0, fmt.Errorf("%w: %q; there are %s", ErrUnknown, name, strings.Join(names[:], ", "))
		}
		disabled |= 1 << index
	}
	return disabled, nil
}

// Enabled reports whether a mechanism is not switched off.
func (d Disabled) Enabled(m Mechanism) bool { return d&(1<<m) == 0 }
