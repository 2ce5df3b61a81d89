package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Incarnation names one incarnation of a server, from its start to its crash.
type Incarnation uint64

// IncarnationOf names the incarnation of a server by what tells it from the server's other lives.
func IncarnationOf(incarnation string) Incarnation {
	return Incarnation(xxhash.Sum64String(incarnation))
}

// Finding is what a node tells others of a fingerprint.
type Finding struct {
	Content Fingerprint
	// Crashes are the servers that ended under it, and whether each got it alone.
	Crashes []Crash
	// Answered says that a server has answered it: earlier ends speak against it no more.
	Answered bool
	// Quarantined says that the node refuses it.
	Quarantined bool
	// Wide says that all nodes are told.
	Wide bool
}

// isPendingFanOut reports whether the finding is of a fan-out whose outcome is awaited.
func (f Finding) isPendingFanOut() bool {
	alone := slices.ContainsFunc(f.Crashes, func(crash Crash) bool { return crash.Alone })
	return f.Wide && !f.Quarantined && !alone && len(f.Crashes) >= minCrashes
}

// Crash is the crash of a server under a fingerprint.
type Crash struct {
	ServerIncarnation Incarnation
	// Alone says that the server got the fingerprint after an earlier crash, with nothing else of
	// the request in flight.
	Alone bool
}

// Audience tells whom a finding concerns.
type Audience int

const (
	// AudienceNone need be told.
	AudienceNone Audience = iota
	// AudienceAggregators are the few nodes that bring the findings on a fingerprint together.
	AudienceAggregators
	// AudienceAll is all nodes.
	AudienceAll
)
