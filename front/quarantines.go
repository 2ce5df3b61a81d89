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

// QuarantineStore keeps the contents that are refused in the registry, each for some minutes
// from when it was written or renewed.
type QuarantineStore interface {
	// WriteQuarantine writes a content. Its error wraps ErrConflict when it is there already;
	// after any other one it may have been written.
	WriteQuarantine(ctx context.Context, content quarantine.Fingerprint) error
	// RenewQuarantine makes the content with a lease of an epoch stay.
	RenewQuarantine(ctx context.Context, lease uint64, epoch discovery.Epoch) error
}

const (
	// findingsPerSecond bounds the findings that a node tells, and findingsBurst those
	// without a pause: at 1,400 nodes that all lose servers, each hears some 30 a second.
	findingsPerSecond = 10
	findingsBurst     = 20
	// findingQueueSize and recordQueueSize bound what waits to be told and to be written.
	findingQueueSize = 128
	recordQueueSize  = 64
	// aggregatorDelay is how long a keeper waits for the record of a content that another node
	// refuses, before it writes the record itself.
	aggregatorDelay = 2 * time.Second
	// quarantineWriteTimeout bounds a call to the registry, and quarantineRetryInterval is the time between
	// two tries.
	quarantineWriteTimeout  = time.Second
	quarantineRetryInterval = time.Second
	// renewalInterval is the time between two renewals of a record: the registry keeps it ten
	// minutes, so four may be lost.
	renewalInterval = 2 * time.Minute
)

// repeatDelays are when what all nodes are told is told again: datagrams are lost.
var repeatDelays = []time.Duration{250 * time.Millisecond, time.Second}

// quarantineManager carries what the node finds out of requests that end servers, and what others do.
// It implements gateway.FindingPublisher.
type quarantineManager struct {
	front  *Front
	store  QuarantineStore
	logger zerolog.Logger
	// findings wait to be told, and records to be written or renewed.
	findings chan queuedFinding
	records  chan quarantine.Fingerprint
	limiter  *rate.Limiter
	dropped  prometheus.Counter

	mutex sync.Mutex
	// mutex guards the fields below: the contents that the registry holds or has lost, and
	// when they were renewed last.
	recorded  map[quarantine.Fingerprint]quarantineRecord
	renewedAt map[quarantine.Fingerprint]time.Time
}

// quarantineRecord is a content's record in the registry. One that is lost is believed, and to be
// written again: the registry has come back from a copy without it.
type quarantineRecord struct {
	lease uint64
	epoch discovery.Epoch
	lost  bool
}

// queuedFinding is a finding and whom it concerns.
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

// Publish implements gateway.FindingPublisher.
func (q *quarantineManager) Publish(finding quarantine.Finding, audience quarantine.Audience) {
	select {
	case q.findings <- queuedFinding{finding, audience}:
	default:
		q.dropped.Inc()
	}
}

// RecordQuarantine implements gateway.FindingPublisher: the record is written, or renewed where it stands.
func (q *quarantineManager) RecordQuarantine(fingerprint quarantine.Fingerprint) {
	select {
	case q.records <- fingerprint:
	default:
		q.dropped.Inc() // a keeper writes it, or the next node to which it comes
	}
}

func (q *quarantineManager) isRecorded(fingerprint quarantine.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	record, found := q.recorded[fingerprint]
	return found && !record.lost
}

// QuarantinedRequestRejected implements gateway.FindingPublisher.
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

// receiveFinding takes another node's finding.
func (q *quarantineManager) receiveFinding(finding quarantine.Finding) {
	q.front.gateway.ReceiveFinding(finding)
	if finding.Quarantined {
		time.AfterFunc(aggregatorDelay, func() { q.ensureRecorded(finding.Content) })
	}
}

// ensureRecorded writes a record that its finder has not written, or that the registry has lost, if
// this node is a keeper.
func (q *quarantineManager) ensureRecorded(fingerprint quarantine.Fingerprint) {
	aggregators := gossip.KeepersOf(fingerprint, q.front.agent.Nodes())
	if slices.ContainsFunc(aggregators, q.front.isSelf) && !q.isRecorded(fingerprint) {
		q.RecordQuarantine(fingerprint)
	}
}

// update takes what the registry holds.
func (q *quarantineManager) update(directives []discovery.Directive) {
	recorded := make(map[quarantine.Fingerprint]quarantineRecord)
	for _, directive := range directives {
		if directive.Kind != discovery.QuarantineContent {
			continue
		}
		fingerprint, err := quarantine.ParseFingerprint(directive.Subject)
		if err != nil {
			q.logger.Warn().Err(err).Str("subject", directive.Subject).Msg("quarantine not understood")
			continue
		}
		recorded[fingerprint] = quarantineRecord{lease: directive.Lease, epoch: directive.StoredAt.Epoch, lost: directive.Lost}
	}
	q.mutex.Lock()
	before := q.recorded
	changed := !maps.Equal(before, recorded)
	q.recorded = recorded
	q.mutex.Unlock()
	for content, record := range recorded {
		if record.lost && !before[content].lost {
			q.ensureRecorded(content)
		}
	}
	if changed {
		q.logger.Info().Int("quarantines", len(recorded)).Msg("quarantines changed")
		q.front.gateway.SetQuarantines(slices.Collect(maps.Keys(recorded)))
	}
}

// run tells and writes until ctx ends.
func (q *quarantineManager) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { q.publishLoop(ctx) })
	loops.Go(func() { q.recordLoop(ctx) })
	loops.Wait()
}

// publishLoop tells other nodes what was found out.
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
			q.front.agent.Tell(queued.finding, queued.audience)
			if queued.audience == quarantine.AudienceAll {
				q.scheduleRepeats(ctx, queued)
			}
		}
	}
}

// scheduleRepeats tells a finding again later.
func (q *quarantineManager) scheduleRepeats(ctx context.Context, queued queuedFinding) {
	for _, delay := range repeatDelays {
		time.AfterFunc(delay, func() {
			if ctx.Err() == nil {
				q.front.agent.Tell(queued.finding, queued.audience)
			}
		})
	}
}

// recordLoop writes records to the registry, each until it is there.
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

// writeRecord writes a content to the registry, or renews it there; it reports whether it stands.
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
	return isRecorded // a record whose lease is over goes, and leaves a suspicion
}
