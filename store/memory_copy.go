package store

import (
	"maps"
	"slices"
)

// MemoryCopy is a copy of the state of a Memory at one moment.
type MemoryCopy struct {
	revision uint64
	records  map[string]*memoryRecord
	leases   map[LeaseID]*memoryLease
	leaseSeq uint64
}

// Copy returns a copy of the current state.
func (m *Memory) Copy() *MemoryCopy {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeases()
	return &MemoryCopy{revision: m.revision, records: cloneRecords(m.records), leases: maps.Clone(m.leases), leaseSeq: m.leaseSeq}
}

// Restore replaces the state with a copy, as if the service had been restored
// from a backup: later writes are lost, and revisions and lease IDs are
// assigned again.
func (m *Memory) Restore(saved *MemoryCopy) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.revision, m.records = saved.revision, cloneRecords(saved.records)
	m.leases, m.leaseSeq = maps.Clone(saved.leases), saved.leaseSeq
	m.notifyWatchers()
}

func cloneRecords(records map[string]*memoryRecord) map[string]*memoryRecord {
	cloned := make(map[string]*memoryRecord, len(records))
	for key, record := range records {
		cloned[key] = &memoryRecord{history: slices.Clone(record.history), lease: record.lease}
	}
	return cloned
}
