package rollout

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

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
	// that failed; DeltaMisfits, deltas that did not lead to their record.
	DeltaPushes, RecordPushes, PushFailures, DeltaMisfits uint64
	// Comparisons counts questions to peers; CompareFailures, those that failed.
	Comparisons, CompareFailures uint64
	// Confirmations counts plans to confirm; UnknownOutcome, those whose
	// outcome stayed unknown.
	Confirmations, UnknownOutcome uint64
	// Restored counts records written back to a store that had lost them.
	Restored uint64
}

// Counters reads the counters.
func (k *Keeper) Counters() Counters {
	return Counters{
		Adopted:         k.metrics.adopted.Load(),
		Rejected:        k.metrics.rejected.Load(),
		Diverged:        k.metrics.diverged.Load(),
		StoreReads:      k.metrics.storeReads.Load(),
		StoreFailures:   k.metrics.storeFailures.Load(),
		DeltaPushes:     k.metrics.deltaPushes.Load(),
		RecordPushes:    k.metrics.recordPushes.Load(),
		PushFailures:    k.metrics.pushFailures.Load(),
		DeltaMisfits:    k.metrics.deltaMisfits.Load(),
		Comparisons:     k.metrics.comparisons.Load(),
		CompareFailures: k.metrics.compareFailures.Load(),
		Confirmations:   k.metrics.confirmations.Load(),
		UnknownOutcome:  k.metrics.unknownOutcome.Load(),
		Restored:        k.metrics.restored.Load(),
	}
}

// Collectors returns the keeper's metrics for a Prometheus registry.
func (k *Keeper) Collectors() []prometheus.Collector {
	counter := func(name, help string, value *atomic.Uint64) prometheus.Collector {
		options := prometheus.CounterOpts{Namespace: "banksail", Subsystem: "configuration", Name: name, Help: help}
		return prometheus.NewCounterFunc(options, func() float64 { return float64(value.Load()) })
	}
	watcher := prometheus.GaugeOpts{
		Namespace: "banksail", Subsystem: "configuration", Name: "store_watcher",
		Help: "1 if this node watches the store.",
	}
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(watcher, k.watcherGauge),
		counter("adopted_total", "Revisions put in force at this node.", &k.metrics.adopted),
		counter("rejected_total", "Offered records or deltas that could not be read.", &k.metrics.rejected),
		counter("diverged_total", "Offered records that differ from the one of the same revision; must stay 0.", &k.metrics.diverged),
		counter("store_reads_total", "Reads and watches of the store.", &k.metrics.storeReads),
		counter("store_failures_total", "Reads and watches of the store that failed.", &k.metrics.storeFailures),
		counter("delta_pushes_total", "Changes offered to peers as deltas.", &k.metrics.deltaPushes),
		counter("record_pushes_total", "Whole records offered to peers.", &k.metrics.recordPushes),
		counter("push_failures_total", "Offers to peers that failed.", &k.metrics.pushFailures),
		counter("delta_misfits_total", "Deltas that did not lead to their record.", &k.metrics.deltaMisfits),
		counter("comparisons_total", "Comparisons with peers.", &k.metrics.comparisons),
		counter("comparison_failures_total", "Comparisons with peers that failed.", &k.metrics.compareFailures),
		counter("confirmations_total", "Plans that this node was asked to confirm.", &k.metrics.confirmations),
		counter("unknown_outcomes_total", "Confirmations whose outcome stayed unknown.", &k.metrics.unknownOutcome),
		counter("restored_total", "Records written back to a store that had lost them.", &k.metrics.restored),
	}
}

func (k *Keeper) watcherGauge() float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.core.Watcher() {
		return 1
	}
	return 0
}
