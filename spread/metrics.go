package spread

import "sync/atomic"

// keeperMetrics counts what the keeper did.
type keeperMetrics struct {
	adopted, rejected, diverged   atomic.Uint64
	storeReads, storeFailures     atomic.Uint64
	deltaPushes, recordPushes     atomic.Uint64
	deltaMisfits, pushFailures    atomic.Uint64
	comparisons, compareFailures  atomic.Uint64
	confirmations, unknownOutcome atomic.Uint64
	restored                      atomic.Uint64
}

// Counters is a reading of what a keeper has done since it started.
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
func (k *Replicator) Counters() Counters {
	return Counters{
		Adopted:         k.metrics.adopted.Load(),
		Rejected:        k.metrics.rejected.Load(),
		Diverged:        k.metrics.diverged.Load(),
		StoreReads:      k.metrics.storeReads.Load(),
		StoreFailures:   k.metrics.storeFailures.Load(),
		DeltaPushes:     k.metrics.deltaPushes.Load(),
		RecordPushes:    k.metrics.recordPushes.Load(),
		PushFailures:    k.metrics.pushFailures.Load(),
		DeltaMismatches: k.metrics.deltaMisfits.Load(),
		Comparisons:     k.metrics.comparisons.Load(),
		CompareFailures: k.metrics.compareFailures.Load(),
		Confirmations:   k.metrics.confirmations.Load(),
		UnknownOutcomes: k.metrics.unknownOutcome.Load(),
		RestoredRecords: k.metrics.restored.Load(),
	}
}
