package front

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gossip"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/quarantine"
)

// QuarantineStore stores the fingerprints of rejected requests in the registry. A record expires
// some minutes after it was last written or renewed.
type QuarantineStore interface {
	// WriteQuarantine writes the record of a fingerprint. Its error wraps ErrConflict if the record
	// exists already; after any other error it may have been written.
	WriteQuarantine(ctx context.Context, fingerprint quarantine.Fingerprint) error
	// RenewQuarantine renews a record by its lease, which was granted in the given epoch.
	RenewQuarantine(ctx context.Context, lease uint64, epoch discovery.Epoch) error
}

const (
	// findingsPerSecond limits the rate at which a node sends findings, and findingsBurst the
	// number sent at once. With 1,400 nodes that all lose servers, each node receives some 30
	// findings per second.
	findingsPerSecond = 10
	findingsBurst     = 20
	// findingQueueSize and recordQueueSize limit the findings that wait to be sent and the
	// fingerprints that wait to be recorded.
	findingQueueSize = 128
	recordQueueSize  = 64
	// aggregatorDelay is how long an aggregator waits for another node to record a fingerprint that
	// it rejects, before the aggregator writes the record itself.
	aggregatorDelay = 2 * time.Second
	// quarantineWriteTimeout limits a call to the registry, and quarantineRetryInterval is the time
	// between two attempts.
	quarantineWriteTimeout  = time.Second
	quarantineRetryInterval = time.Second
	// renewalInterval is the minimum time between two renewals of a record. The registry keeps a
	// record for ten minutes, so four renewals may be lost.
	renewalInterval = 2 * time.Minute
)

// repeatDelays are the delays after which a finding for all nodes is sent again, as datagrams may
// be lost.
var repeatDelays = []time.Duration{250 * time.Millisecond, time.Second}

// quarantineManager exchanges findings on requests that crash servers with other nodes, and records
// quarantined fingerprints in the registry. It implements gateway.FindingPublisher.
type quarantineManager struct {
	front  *Front
	store  QuarantineStore
	logger zerolog.Logger
	// findings holds findings to be sent to other nodes, and records fingerprints whose record is
	// to be written or renewed.
	findings chan queuedFinding
	records  chan quarantine.Fingerprint
	limiter  *rate.Limiter
	dropped  prometheus.Counter

	mutex sync.Mutex
	// mutex guards the fields below. recorded holds the fingerprints that the registry lists or has
	// lost; renewedAt is when the renewal of a fingerprint was last requested.
	recorded  map[quarantine.Fingerprint]quarantineRecord
	renewedAt map[quarantine.Fingerprint]time.Time
}

// quarantineRecord is the registry's record of a fingerprint. A lost record stays in force and is
// written again: the registry was restored from a backup that did not contain it.
type quarantineRecord struct {
	lease uint64
	epoch discovery.Epoch
	lost  bool
}

// queuedFinding is a finding and the nodes that it is sent to.
type queuedFinding struct {
	finding  quarantine.Finding
	audience quarantine.Audience
}

func newQuarantineManager(f *Front, store QuarantineStore, registry prometheus.Registerer) *quarantineManager {
	q := &quarantineManager{
		front:    f,
		store:    store,
		logger:   f.options.Logger,
		findings: make(chan queuedFinding, findingQueueSize),
		records:  make(chan quarantine.Fingerprint, recordQueueSize),
		limiter:  rate.NewLimiter(findingsPerSecond, findingsBurst),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_findings_dropped_total", Help: "Findings on requests that end servers that were not passed on, as there were too many.",
		}),
		recorded:  make(map[quarantine.Fingerprint]quarantineRecord),
		renewedAt: make(map[quarantine.Fingerprint]time.Time),
	}
	if registry != nil {
		registry.MustRegister(q.dropped)
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "banksail_quarantines", Help: "Contents that are refused because servers end under them.",
		}, func() float64 {
			quarantined, _ := f.gateway.QuarantineCounts()
			return float64(quarantined)
		}))
	}
	return q
}

// Publish implements gateway.FindingPublisher. Findings that exceed the queue are dropped.
func (q *quarantineManager) Publish(finding quarantine.Finding, audience quarantine.Audience) {
	select {
	case q.findings <- queuedFinding{finding, audience}:
	default:
		q.dropped.Inc()
	}
}

// RecordQuarantine implements gateway.FindingPublisher. The record is written, or renewed if it
// exists.
func (q *quarantineManager) RecordQuarantine(fingerprint quarantine.Fingerprint) {
	select {
	case q.records <- fingerprint:
	default:
		q.dropped.Inc() // an aggregator or the next node that receives the request writes it
	}
}

func (q *quarantineManager) isRecorded(fingerprint quarantine.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	record, found := q.recorded[fingerprint]
	return found && !record.lost
}

// QuarantinedRequestRejected implements gateway.FindingPublisher. It renews the record if the last
// renewal is at least renewalInterval ago.
func (q *quarantineManager) QuarantinedRequestRejected(fingerprint quarantine.Fingerprint) {
	q.mutex.Lock()
	due := time.Since(q.renewedAt[fingerprint]) >= renewalInterval
	if due {
		q.renewedAt[fingerprint] = time.Now()
	}
	q.mutex.Unlock()
	if due {
		q.RecordQuarantine(fingerprint)
	}
}

// receiveFinding handles a finding of another node. The gossip agent calls it.
func (q *quarantineManager) receiveFinding(finding quarantine.Finding) {
	q.front.gateway.ReceiveFinding(finding)
	if finding.Quarantined {
		time.AfterFunc(aggregatorDelay, func() { q.ensureRecorded(finding.Content) })
	}
}

// ensureRecorded writes a record that the node which found it has not written, or that the registry
// has lost, if this node is an aggregator for the fingerprint.
func (q *quarantineManager) ensureRecorded(fingerprint quarantine.Fingerprint) {
	aggregators := gossip.AggregatorsFor(fingerprint, q.front.agent.Nodes())
	if slices.ContainsFunc(aggregators, q.front.isSelf) && !q.isRecorded(fingerprint) {
		q.RecordQuarantine(fingerprint)
	}
}

// update applies the quarantines that the registry lists.
func (q *quarantineManager) update(directives []discovery.Directive) {
	recorded := make(map[quarantine.Fingerprint]quarantineRecord)
	for _, directive := range directives {
		if directive.Kind != discovery.QuarantineFingerprint {
			continue
		}
		fingerprint, err := quarantine.ParseFingerprint(directive.Subject)
		if err != nil {
			q.logger.Warn().Err(err).Str("subject", directive.Subject).Msg("ignoring quarantine with an invalid fingerprint")
			continue
		}
		recorded[fingerprint] = quarantineRecord{lease: directive.Lease, epoch: directive.StoredAt.Epoch, lost: directive.Lost}
	}
	q.mutex.Lock()
	before := q.recorded
	changed := !maps.Equal(before, recorded)
	q.recorded = recorded
	q.mutex.Unlock()
	for fingerprint, record := range recorded {
		if record.lost && !before[fingerprint].lost {
			q.ensureRecorded(fingerprint)
		}
	}
	if changed {
		q.logger.Info().Int("quarantines", len(recorded)).Msg("quarantines changed")
		q.front.gateway.SetQuarantines(slices.Collect(maps.Keys(recorded)))
	}
}

// run sends findings and writes records until ctx ends.
func (q *quarantineManager) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { q.publishLoop(ctx) })
	loops.Go(func() { q.recordLoop(ctx) })
	loops.Wait()
}

// publishLoop sends findings to other nodes. Findings above the rate limit are dropped.
func (q *quarantineManager) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-q.findings:
			if !q.limiter.Allow() {
				q.dropped.Inc()
				continue
			}
			q.front.agent.PublishFinding(queued.finding, queued.audience)
			if queued.audience == quarantine.AudienceAll {
				q.scheduleRepeats(ctx, queued)
			}
		}
	}
}

// scheduleRepeats schedules further transmissions of a finding.
func (q *quarantineManager) scheduleRepeats(ctx context.Context, queued queuedFinding) {
	for _, delay := range repeatDelays {
		time.AfterFunc(delay, func() {
			if ctx.Err() == nil {
				q.front.agent.PublishFinding(queued.finding, queued.audience)
			}
		})
	}
}

// recordLoop writes records to the registry and retries each one until it is stored.
func (q *quarantineManager) recordLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case fingerprint := <-q.records:
			for q.store != nil && !q.writeRecord(ctx, fingerprint) {
				if clock.Sleep(ctx, quarantineRetryInterval) != nil {
					return
				}
			}
		}
	}
}

// writeRecord writes or renews the record of a fingerprint. It reports whether the fingerprint
// needs no further attempt.
func (q *quarantineManager) writeRecord(ctx context.Context, fingerprint quarantine.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout)
	defer cancel()
	q.mutex.Lock()
	record, isRecorded := q.recorded[fingerprint]
	isRecorded = isRecorded && !record.lost
	q.mutex.Unlock()
	var err error
	if isRecorded {
		err = q.store.RenewQuarantine(ctx, record.lease, record.epoch)
	} else {
		err = q.store.WriteQuarantine(ctx, fingerprint)
	}
	if err == nil || errors.Is(err, ErrConflict) {
		q.logger.Info().Stringer("content", fingerprint).Bool("renewed", isRecorded).Msg("quarantine recorded")
		return true
	}
	q.logger.Warn().Err(err).Stringer("content", fingerprint).Bool("renewed", isRecorded).Msg("quarantine not recorded")
	return isRecorded // a failed renewal is not retried: the record expires and leaves a suspicion
}
