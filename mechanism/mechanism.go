// Package mechanism lists the optional decision mechanisms of a node, so that each can be switched
// off to measure its effect. This is for diagnosis only: a node with some of them disabled
// performs worse but keeps all its guarantees.
package mechanism

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Mechanism identifies a mechanism.
type Mechanism int

// The mechanisms, each with its name on the command line and the package that implements it.
const (
	// Hedging ("hedges") sends a second attempt to another server if the first takes long
	// (routing).
	Hedging Mechanism = iota
	// TimelyHedges ("hedges-in-time") omits hedges that are not expected to be answered within the
	// latency target (routing).
	TimelyHedges
	// LatencyRanking ("slowness") prefers servers whose replies were fast (routing).
	LatencyRanking
	// OverdueAttempts ("overdue") also counts pending attempts as evidence of slowness (routing).
	OverdueAttempts
	// SlowServerProbes ("probes") sends single requests to slow servers to detect recovery
	// (routing).
	SlowServerProbes
	// UnreachableServers ("unreachable") excludes servers to which no connection can be opened
	// (routing).
	UnreachableServers
	// UnreachableZones ("dark-zones") excludes all servers of a zone from which no reply arrives
	// (routing).
	UnreachableZones
	// ReportedLoad ("load") takes the load that servers report into account (routing).
	ReportedLoad
	// Locality ("nearness") prefers servers in the same zone or region (routing).
	Locality
	// EarlyRejection ("early-refusal") immediately rejects requests that would wait too long
	// (routing).
	EarlyRejection
	// PriorityRejection ("fair-refusal") rejects less urgent requests at least at the rate of more
	// urgent ones (routing).
	PriorityRejection
	// RetryAdmission ("last-tries") accepts retries by callers while an overload is brief
	// (routing).
	RetryAdmission
	// RestartConnectionLimit ("fresh-connections") halves the connections of a restarted node for
	// a while (routing).
	RestartConnectionLimit
	// TableWait ("table-wait") lets the first requests of a starting node wait for the route table
	// (gateway).
	TableWait
	// CapableNodes ("capable") directs callers to the most capable nodes (directory).
	CapableNodes
	// RegistryReaders ("readers") lets only a few nodes read the registry, which relay its content
	// to the others (discovery).
	RegistryReaders
	// OutageRetention ("doubt") keeps entries that disappeared during a registry outage for a
	// while (discovery).
	OutageRetention
	// Quarantine ("quarantine") rejects requests that crash the servers that run them
	// (quarantine).
	Quarantine
	mechanismCount
)

var names = [mechanismCount]string{
	"hedges", "hedges-in-time", "slowness", "overdue", "probes", "unreachable", "dark-zones", "load", "nearness",
	"early-refusal", "fair-refusal", "last-tries", "fresh-connections", "table-wait", "capable", "readers", "doubt",
	"quarantine",
}

// String returns the mechanism's name on the command line.
func (m Mechanism) String() string { return names[m] }

// Names returns the names of all mechanisms.
func Names() []string { return slices.Clone(names[:]) }

// ErrUnknown is the error wrapped by Parse for an unknown name.
var ErrUnknown = errors.New("mechanism: unknown name")

// Disabled is a set of mechanisms that are switched off. The zero value is empty.
type Disabled uint32

// Disable returns the set of the given mechanisms.
func Disable(mechanisms ...Mechanism) Disabled {
	var disabled Disabled
	for _, m := range mechanisms {
		disabled |= 1 << m
	}
	return disabled
}

// Parse parses a comma-separated list of names. For an unknown name, it returns an error that
// wraps ErrUnknown and contains the name.
func Parse(text string) (Disabled, error) {
	var disabled Disabled
	if text == "" {
		return disabled, nil
	}
	for name := range strings.SplitSeq(text, ",") {
		index := slices.Index(names[:], name)
		if index < 0 {
			return 0, fmt.Errorf("%w %q, must be one of %s", ErrUnknown, name, strings.Join(names[:], ", "))
		}
		disabled |= 1 << index
	}
	return disabled, nil
}

// Enabled reports whether the mechanism is not in the set.
func (d Disabled) Enabled(m Mechanism) bool { return d&(1<<m) == 0 }
