package spread

import "sync/atomic"

type replicatorMetrics struct {
	adopted, rejected, diverged    atomic.Uint64
	storeReads, storeFailures      atomic.Uint64
	deltaPushes, recordPushes      atomic.Uint64
	deltaMismatches, pushFailures  atomic.Uint64
	comparisons, compareFailures   atomic.Uint64
	confirmations, unknownOutcomes atomic.Uint64
	restoredRecords                atomic.Uint64
}

// Counters holds the totals of a replicator since it was created.
type Counters struct {
	// Adopted counts revisions put in force. Rejected counts records and deltas
	// that could not be decoded or failed validation. Diverged counts records
	// that differ from the record of the same revision in force.
	Adopted, Rejected, Diverged uint64
	// StoreReads counts reads and watches of the store, and StoreFailures those
	// that failed. Reads for plans and confirmations are not included.
	StoreReads, StoreFailures uint64
	// DeltaPushes and RecordPushes count pushes of deltas and of full records
	// to peers. PushFailures counts pushes that failed. DeltaMismatches counts
	// received deltas that did not produce the record that they name.
	DeltaPushes, RecordPushes, PushFailures, DeltaMismatches uint64
	// Comparisons counts fetches from peers, and CompareFailures those that
	// failed.
	Comparisons, CompareFailures uint64
	// Confirmations counts confirmation requests, and UnknownOutcomes those
	// that failed although their swap may have been applied.
	Confirmations, UnknownOutcomes uint64
	// RestoredRecords counts records written back to a store that had lost
	// them.
	RestoredRecords uint64
}

// Counters returns the current totals.
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
