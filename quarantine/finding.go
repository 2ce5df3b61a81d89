package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one run of a server process, from its start to its exit.
type Incarnation uint64

// IncarnationOf hashes the string that identifies a server's incarnation.
func IncarnationOf(incarnation string) Incarnation {
	return Incarnation(xxhash.Sum64String(incarnation))
}

// Finding is a message to other nodes about one fingerprint.
type Finding struct {
	// Content is the fingerprint of the request.
	Content Fingerprint
	// Crashes lists the servers that crashed while they ran the request.
	Crashes []Crash
	// Answered is set when a server has answered the request, which invalidates earlier crashes
	// as evidence.
	Answered bool
	// Quarantined is set when the sending node rejects the request.
	Quarantined bool
	// Wide is set when the finding is sent to all nodes.
	Wide bool
}

// isPendingFanOut reports whether the finding concerns a fan-out whose outcome is pending.
func (f Finding) isPendingFanOut() bool {
	alone := slices.ContainsFunc(f.Crashes, func(crash Crash) bool { return crash.Alone })
	return f.Wide && !f.Quarantined && !alone && len(f.Crashes) >= minCrashes
}

// Crash is the crash of a server while it ran a request.
type Crash struct {
	// ServerIncarnation is the incarnation that crashed.
	ServerIncarnation Incarnation
	// Alone is set when the request was sent to this server after an earlier crash, with no
	// other attempt of the request in flight.
	Alone bool
}

// Audience is the set of nodes to which a finding must be sent.
type Audience int

const (
	// AudienceNone means that the finding need not be sent.
	AudienceNone Audience = iota
	// AudienceAggregators are the few nodes that merge the findings on a fingerprint.
	AudienceAggregators
	// AudienceAll means all nodes.
	AudienceAll
)
