package spread

import "sync/atomic"

// replicatorMetrics counts what the replicator did.
type replicatorMetrics struct {
	adopted, rejected, diverged    atomic.Uint64
	storeReads, storeFailures      atomic.Uint64
	deltaPushes, recordPushes      atomic.Uint64
	deltaMismatches, pushFailures  atomic.Uint64
	comparisons, compareFailures   atomic.Uint64
	confirmations, unknownOutcomes atomic.Uint64
	restoredRecords                atomic.Uint64
}

// Counters is a reading of what a replicator has done since it started.
type Counters struct {
	// Adopted counts revisions put in force; Rejected, records that could not
	// be read; Diverged, records that differ from the one of the same revision.
	Adopted, Rejected, Diverged uint64
	// StoreReads counts reads and watches; StoreFailures, those that failed.
	StoreReads, StoreFailures uint64
	// DeltaPushes and RecordPushes count offers to peers; PushFailures, those
	// that failed; DeltaMismatches, deltas that did not lead to their record.
	DeltaPushes, RecordPushes, PushFailures, DeltaMismatches uint64
	// Comparisons counts questions to peers; CompareFailures, those that failed.
	Comparisons, CompareFailures uint64
	// Confirmations counts plans to confirm; UnknownOutcomes, those whose
	// outcome stayed unknown.
	Confirmations, UnknownOutcomes uint64
	// RestoredRecords counts records written back to a store that had lost them.
	RestoredRecords uint64
}

// Counters reads the counters.
func (r *Replicator) Counters() Counters {
	return Counters{
		Adopted:         r.metrics.adopted.Load(),
		Rejected:        r.metrics.rejected.Load(),
		Diverged:        r.metrics.diverged.Load(),
		StoreReads:      r.metrics.storeReads.Load(),
		StoreFailures:   r.metrics.storeFailures.Load(),
		DeltaPushes:     r.metrics.deltaPushes.Load(),
		RecordPushes:    r.metrics.recordPushes.Load(),
		PushFailures:    r.metrics.pushFailures.Load(),
		DeltaMismatches: r.metrics.deltaMismatches.Load(),
		Comparisons:     r.metrics.comparisons.Load(),
		CompareFailures: r.metrics.compareFailures.Load(),
		Confirmations:   r.metrics.confirmations.Load(),
		UnknownOutcomes: r.metrics.unknownOutcomes.Load(),
		RestoredRecords: r.metrics.restoredRecords.Load(),
	}
}
