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
	// findingsPerSecond bounds the findings that a node tells, and findingsAtOnce those
	// without a pause: at 1,400 nodes that all lose servers, each hears some 30 a second.
	findingsPerSecond = 10
	findingsAtOnce    = 20
	// findingsWaiting and recordsWaiting bound what waits to be told and to be written.
	findingsWaiting = 128
	recordsWaiting  = 64
	// keeperPause is how long a keeper waits for the record of a content that another node
	// refuses, before it writes the record itself.
	keeperPause = 2 * time.Second
	// quarantineCall bounds a call to the registry, and quarantinePause is the time between
	// two tries.
	quarantineCall  = time.Second
	quarantinePause = time.Second
	// renewalPause is the time between two renewals of a record: the registry keeps it ten
	// minutes, so four may be lost.
	renewalPause = 2 * time.Minute
)

// repetitions are when what all nodes are told is told again: datagrams are lost.
var repetitions = []time.Duration{250 * time.Millisecond, time.Second}

// quarantines carries what the node finds out of requests that end servers, and what others do.
// It implements gateway.FindingPublisher.
type quarantines struct {
	front  *Front
	store  QuarantineStore
	logger zerolog.Logger
	// findings wait to be told, and records to be written or renewed.
	findings chan toldFinding
	records  chan quarantine.Fingerprint
	limiter  *rate.Limiter
	dropped  prometheus.Counter

	mutex sync.Mutex
	// mutex guards the fields below: the contents that the registry holds or has lost, and
	// when they were renewed last.
	recorded map[quarantine.Fingerprint]recordedContent
	renewed  map[quarantine.Fingerprint]time.Time
}

// recordedContent is a content's record in the registry. One that is lost is believed, and to be
// written again: the registry has come back from a copy without it.
type recordedContent struct {
	lease uint64
	epoch discovery.Epoch
	lost  bool
}

// toldFinding is a finding and whom it concerns.
type toldFinding struct {
	finding  quarantine.Finding
	audience quarantine.Audience
}

func newQuarantines(f *Front, store QuarantineStore, registry prometheus.Registerer) *quarantines {
	q := &quarantines{
		front:    f,
		store:    store,
		logger:   f.options.Logger,
		findings: make(chan toldFinding, findingsWaiting),
		records:  make(chan quarantine.Fingerprint, recordsWaiting),
		limiter:  rate.NewLimiter(findingsPerSecond, findingsAtOnce),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_findings_dropped_total", Help: "Findings on requests that end servers that were not passed on, as there were too many.",
		}),
		recorded: make(map[quarantine.Fingerprint]recordedContent),
		renewed:  make(map[quarantine.Fingerprint]time.Time),
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
func (q *quarantines) Publish(finding quarantine.Finding, audience quarantine.Audience) {
	select {
	case q.findings <- toldFinding{finding, audience}:
	default:
		q.dropped.Inc()
	}
}

// RecordQuarantine implements gateway.FindingPublisher: the record is written, or renewed where it stands.
func (q *quarantines) RecordQuarantine(content quarantine.Fingerprint) {
	select {
	case q.records <- content:
	default:
		q.dropped.Inc() // a keeper writes it, or the next node to which it comes
	}
}

func (q *quarantines) isRecorded(content quarantine.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known, there := q.recorded[content]
	return there && !known.lost
}

// QuarantinedRequestRejected implements gateway.FindingPublisher.
func (q *quarantines) QuarantinedRequestRejected(content quarantine.Fingerprint) {
	q.mutex.Lock()
	due := time.Since(q.renewed[content]) >= renewalPause
	if due {
		q.renewed[content] = time.Now()
	}
	q.mutex.Unlock()
	if due {
		q.RecordQuarantine(content)
	}
}

// hear takes another node's finding.
func (q *quarantines) hear(finding quarantine.Finding) {
	q.front.gateway.ReceiveFinding(finding)
	if finding.Quarantined {
		time.AfterFunc(keeperPause, func() { q.lookAfter(finding.Content) })
	}
}

// lookAfter writes a record that its finder has not written, or that the registry has lost, if
// this node is a keeper.
func (q *quarantines) lookAfter(content quarantine.Fingerprint) {
	keepers := gossip.KeepersOf(content, q.front.agent.Nodes())
	if slices.ContainsFunc(keepers, q.front.isSelf) && !q.isRecorded(content) {
		q.RecordQuarantine(content)
	}
}

// take takes what the registry holds.
func (q *quarantines) take(directives []discovery.Directive) {
	recorded := make(map[quarantine.Fingerprint]recordedContent)
	for _, directive := range directives {
		if directive.Kind != discovery.QuarantineContent {
			continue
		}
		content, err := quarantine.ParseFingerprint(directive.Subject)
		if err != nil {
			q.logger.Warn().Err(err).Str("subject", directive.Subject).Msg("quarantine not understood")
			continue
		}
		recorded[content] = recordedContent{lease: directive.Lease, epoch: directive.StoredAt.Epoch, lost: directive.Lost}
	}
	q.mutex.Lock()
	before := q.recorded
	changed := !maps.Equal(before, recorded)
	q.recorded = recorded
	q.mutex.Unlock()
	for content, known := range recorded {
		if known.lost && !before[content].lost {
			q.lookAfter(content)
		}
	}
	if changed {
		q.logger.Info().Int("quarantines", len(recorded)).Msg("quarantines changed")
		q.front.gateway.SetQuarantines(slices.Collect(maps.Keys(recorded)))
	}
}

// run tells and writes until ctx ends.
func (q *quarantines) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { q.tellLoop(ctx) })
	loops.Go(func() { q.recordLoop(ctx) })
	loops.Wait()
}

// tellLoop tells other nodes what was found out.
func (q *quarantines) tellLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case told := <-q.findings:
			if !q.limiter.Allow() {
				q.dropped.Inc()
				continue
			}
			q.front.agent.Tell(told.finding, told.audience)
			if told.audience == quarantine.AudienceAll {
				q.repeat(ctx, told)
			}
		}
	}
}

// repeat tells a finding again later.
func (q *quarantines) repeat(ctx context.Context, told toldFinding) {
	for _, after := range repetitions {
		time.AfterFunc(after, func() {
			if ctx.Err() == nil {
				q.front.agent.Tell(told.finding, told.audience)
			}
		})
	}
}

// recordLoop writes records to the registry, each until it is there.
func (q *quarantines) recordLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case content := <-q.records:
			for q.store != nil && !q.record(ctx, content) {
				if clock.Sleep(ctx, quarantinePause) != nil {
					return
				}
			}
		}
	}
}

// record writes a content to the registry, or renews it there; it reports whether it stands.
func (q *quarantines) record(ctx context.Context, content quarantine.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineCall)
	defer cancel()
	q.mutex.Lock()
	known, there := q.recorded[content]
	there = there && !known.lost
	q.mutex.Unlock()
	var err error
	if there {
		err = q.store.RenewQuarantine(ctx, known.lease, known.epoch)
	} else {
		err = q.store.WriteQuarantine(ctx, content)
	}
	if err == nil || errors.Is(err, ErrConflict) {
		q.logger.Info().Stringer("content", content).Bool("renewed", there).Msg("quarantine recorded")
		return true
	}
	q.logger.Warn().Err(err).Stringer("content", content).Bool("renewed", there).Msg("quarantine not recorded")
	return there // a record whose lease is over goes, and leaves a suspicion
}
