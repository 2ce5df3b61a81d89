package store

import (
	"maps"
	"slices"
)

// MemoryBackup is a copy of the state of a Memory at one moment.
type MemoryBackup struct {
	revision uint64
	records  map[string]*memoryRecord
	leases   map[LeaseID]*memoryLease
	leaseSeq uint64
}

// Backup returns a backup of the current state.
func (m *Memory) Backup() *MemoryBackup {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireLeases()
	return &MemoryBackup{revision: m.revision, records: cloneRecords(m.records), leases: maps.Clone(m.leases), leaseSeq: m.leaseSeq}
}

// Restore replaces the state with a backup, as if the service had been restored
// from it: later writes are lost, and revisions and lease IDs are
// assigned again.
func (m *Memory) Restore(saved *MemoryBackup) {
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
