package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/extrabudget"
)

const (
	// takeoverDelay is how much later each decider acts than the one ranked before it. It covers a write
	// to the registry and the time until all nodes have seen it.
	takeoverDelay = time.Second
	// retryDelay is the time after which a write that failed or got no answer is tried again. By then
	// its effect, if any, is visible.
	retryDelay = time.Second
	// maxGrants bounds the number of nodes in a record's grants.
	maxGrants = 64
)

// DeciderInput is what a decider knows of the service and of the nodes.
type DeciderInput struct {
	State
	// OrderFault says what is wrong with the order, empty if it is valid.
	OrderFault string
	// Epoch is the registry's epoch. RecordRevision is the revision of the record in it, or of the entry
	// in its place since the registry was restored from a backup; zero means that there is none.
	Epoch          uint64
	RecordRevision uint64
	// History says what this node has seen of the registry's past.
	History RegistryHistory
	// Versions lists the versions of the service's servers that accept work, sorted.
	Versions []string
	// ServiceKnown says that the service is defined in the active routing table.
	ServiceKnown bool
	// DeciderIndex is this node's rank among the deciders, from 0; negative means that it is none.
	DeciderIndex int
	// Nodes lists the live nodes, and ServingNodes those to which callers are sent.
	Nodes, ServingNodes []string
	// MaxViewAge is the greatest recent age of a node's view of the registry.
	MaxViewAge time.Duration
}

// Write asks the owner to write a record, and the status derived from it, on the condition that the
// registry holds the order and the record at the given revisions; zero means not at all.
type Write struct {
	Service                       string
	Record                        Record
	OrderRevision, RecordRevision uint64
	// AlarmTTL asks for an alarm of the order that the registry removes after this time; zero asks for
	// none.
	AlarmTTL time.Duration
}

// Decider drives one service's orders through their phases. It is a pure state machine and not safe
// for concurrent use.
type Decider struct {
	service string
	bounds  Bounds
	input   DeciderInput
	judge   *Judge
	// order is the order that judge evaluates.
	order uint64
	// confirmed says which nodes have moved and have no relevant requests left at the previous versions.
	confirmed map[string]bool
	// allConfirmedAt is when all nodes had confirmed; zero means that some have not.
	allConfirmedAt time.Duration
	// pending is the record to be written, and pendingSince since when.
	pending      Record
	pendingSince time.Duration
	hasPending   bool
	// lastWritten is the revision of the record that this decider wrote last.
	lastWritten uint64
	// retryAt is until when the result of a write is awaited.
	retryAt time.Duration
	// sent is the write that was sent last, until the view shows a change at its keys.
	sent *Write
	// doubt is what the decider knows of an order that may have ended unseen.
	doubt doubt
}

// NewDecider returns a decider for a service.
func NewDecider(service string, bounds Bounds) *Decider {
	return &Decider{service: service, bounds: bounds, judge: NewJudge(), confirmed: make(map[string]bool)}
}

// Observe updates the decider with the current state of the service and nodes.
func (d *Decider) Observe(now time.Duration, input DeciderInput) {
	if input.Order != d.order {
		d.order, d.judge, d.doubt = input.Order, NewJudge(), doubt{}
	}
	d.observeSent(input)
	d.observeRestore(now, &input)
	d.apply(input)
}

// apply replaces the known state. A record that this decider has written may be newer than the view's.
func (d *Decider) apply(input DeciderInput) {
	if input.Epoch == d.input.Epoch && input.RecordRevision < d.input.RecordRevision && input.Order == d.input.Order {
		input.Record, input.RecordRevision, input.RecordLost = d.input.Record, d.input.RecordRevision, d.input.RecordLost // the view does not include the last write yet
	}
	if input.RecordRevision != d.input.RecordRevision || input.Epoch != d.input.Epoch {
		d.hasPending, d.retryAt = false, 0
		if !input.sameStage(d.input.State) { // otherwise the record was lost or rewritten
			clear(d.confirmed)
			d.allConfirmedAt = 0
		}
	}
	d.input = input
}

// AddReport adds a node's report to the evidence. Reports on other orders are ignored.
func (d *Decider) AddReport(now time.Duration, report Report) {
	if report.Order != d.order || report.Order == 0 {
		return
	}
	d.judge.AddReport(now, report)
	d.confirmed[report.Node] = report.Moved && report.Remaining == 0
}

// Halt reports whether nodes must stop sending to the target before they learn it from the
// registry. Once traffic moves, that holds only if the roll-out was rolled back: another decider
// may have completed the move meanwhile, and the previous servers may have stopped.
func (d *Decider) Halt() bool {
	record := d.input.Record
	if !d.input.hasCurrentRecord() {
		return false
	}
	verdict, _ := d.judge.Verdict()
	return record.Phase == RolledBack || record.Phase == Running && verdict == Bad
}

// WriteRejected handles the response that order or record are at other revisions. What this decider
// assumed to be written may not be, so the next observed state counts. The owner must observe a view from
// after the response, or one marked as outdated.
func (d *Decider) WriteRejected() {
	d.lastWritten, d.input.RecordRevision = 0, 0
}

// WriteAccepted handles the response that the registry holds the record as requested, at the given
// revision.
func (d *Decider) WriteAccepted(now time.Duration, write Write, revision uint64) {
	isOther := write.Record.Epoch != d.input.Epoch || write.OrderRevision != d.input.OrderRevision
	if isOther || revision <= d.input.RecordRevision {
		return
	}
	d.lastWritten = revision
	input := d.input
	input.Record, input.RecordRevision, input.RecordLost, input.RecordSeenAt = &write.Record, revision, false, now
	d.apply(input)
}

// Judge returns the judge of the current order.
func (d *Decider) Judge() *Judge { return d.judge }

// Active reports whether there is anything to decide or to write again.
func (d *Decider) Active() bool { return !d.input.Ended() || d.input.NeedsRewrite() }

// Tick returns the write that this node should send now; ok is false if there is none.
func (d *Decider) Tick(now time.Duration) (write Write, ok bool) {
	record, pending := d.nextRecord(now)
	if !pending || d.input.DeciderIndex < 0 || !d.viewAllows(record) {
		d.hasPending = false
		return Write{}, false
	}
	if !d.hasPending || record.Phase != d.pending.Phase || record.Order != d.pending.Order {
		d.hasPending, d.pendingSince = true, now
	}
	d.pending = record
	if now < d.pendingSince+d.delay(now) || now < d.retryAt {
		return Write{}, false
	}
	d.retryAt = now + retryDelay
	record.Epoch, record.OrderRevision = d.input.Epoch, d.input.OrderRevision
	write = Write{
		Service:        d.service,
		Record:         record,
		OrderRevision:  d.input.OrderRevision,
		RecordRevision: d.input.RecordRevision,
	}
	if record.Phase == Running && record.HasAlarm {
		write.AlarmTTL = record.DecisionAt - record.Elapsed
	}
	d.sent = &write
	return write, true
}

// delay returns how long a pending write waits for the deciders ranked before this one. There is no
// delay if the target is bad, near the deadline, or if this decider wrote the current record and so
// has taken over already.
func (d *Decider) delay(now time.Duration) time.Duration {
	verdict, _ := d.judge.Verdict()
	hasTakenOver := d.lastWritten > 0 && d.lastWritten == d.input.RecordRevision
	isLate := d.input.Order != 0 && d.input.Age(now) >= d.input.Duration-endWriteMargin-takeoverDelay
	if verdict == Bad || hasTakenOver || isLate {
		return 0
	}
	return time.Duration(d.input.DeciderIndex) * takeoverDelay
}

// nextRecord returns the record to write next. A record that the registry has lost is written again,
// unless another one follows it.
func (d *Decider) nextRecord(now time.Duration) (record Record, due bool) {
	record, due = d.nextStage(now)
	if !due && d.input.NeedsRewrite() {
		return d.unchangedRecord(now), true
	}
	return record, due
}

// unchangedRecord returns the current record, with its age updated unless it has ended.
func (d *Decider) unchangedRecord(now time.Duration) Record {
	record := *d.input.Record
	if !record.Phase.Ended() {
		record.Elapsed, record.Rewritten = d.input.Age(now), true
	}
	return record
}

// nextStage returns the record that follows the current one.
func (d *Decider) nextStage(now time.Duration) (record Record, due bool) {
	switch {
	case d.input.Ended():
		return Record{}, false
	case d.input.Order == 0:
		return d.endRecord(now, RolledBack, "the order was taken back"), true
	case !d.input.hasCurrentRecord():
		return d.firstRecord(now), true
	case d.mayHaveEnded():
		return d.decideByServers(now)
	default:
		return d.decidePhase(now)
	}
}

// decidePhase decides by the rules of the order's phase.
func (d *Decider) decidePhase(now time.Duration) (record Record, due bool) {
	if d.input.Record.Phase == Moving {
		return d.decideMoving(now)
	}
	return d.decideRunning(now)
}

// endRecord returns the record with a final phase.
func (d *Decider) endRecord(now time.Duration, phase Phase, reason string) Record {
	record := *d.input.Record
	record.Phase, record.Reason, record.Grants = phase, reason, nil
	if d.input.Order != 0 {
		record.Elapsed = d.input.Age(now)
	}
	return record
}

// firstRecord returns the first record of an order.
func (d *Decider) firstRecord(now time.Duration) Record {
	age := d.input.Age(now)
	record := Record{
		Order:    d.input.Order,
		Target:   d.input.Target,
		Phase:    Running,
		Elapsed:  age,
		Granted:  age,
		Excluded: d.excludedVersions(d.input.Target),
	}
	for _, version := range d.input.Versions {
		if version != record.Target && !slices.Contains(record.Excluded, version) {
			record.Before = append(record.Before, version)
		}
	}
	record.DecisionAt = max(decisionAt(d.input.Duration, d.input.MaxViewAge), age)
	switch {
	case d.input.OrderFault != "":
		record.Phase, record.Reason = RolledBack, d.input.OrderFault
	case !d.input.ServiceKnown:
		record.Phase, record.Reason = RolledBack, "service: "+d.service+" is not known"
	case len(record.Before) == 0 && slices.Contains(d.input.Versions, record.Target):
		record.Phase, record.Reason = Completed, "the target is the only version"
	default:
		record.Grants = d.grants()
		left := record.DecisionAt - record.Elapsed
		record.HasAlarm = left > 0 && left <= maxAlarmTTL
	}
	return record
}

// excludedVersions lists the versions that receive nothing during an order for target.
func (d *Decider) excludedVersions(target string) []string {
	last := d.input.Record
	if last == nil {
		return nil
	}
	excluded := slices.Clone(last.Excluded)
	if last.Phase == Completed {
		excluded = append(excluded, last.Before...)
	} else {
		excluded = append(excluded, last.Target)
	}
	slices.Sort(excluded)
	excluded = slices.Compact(excluded)
	return slices.DeleteFunc(excluded, func(version string) bool { return version == target || version == "" })
}

// grants divides the usable part of ExposureSlack among the nodes that serve callers.
func (d *Decider) grants() map[string]int {
	nodes := slices.Sorted(slices.Values(d.input.ServingNodes))
	nodes = nodes[:min(len(nodes), maxGrants)]
	total := int(extrabudget.Usable(d.bounds.ExposureSlack))
	grants := make(map[string]int, len(nodes))
	for index, node := range nodes {
		grants[node] = total / len(nodes)
		if index < total%len(nodes) {
			grants[node]++
		}
	}
	maps.DeleteFunc(grants, func(_ string, count int) bool { return count == 0 })
	return grants
}

// decideRunning decides in the phase Running, on the target's evidence: to move traffic, to roll back,
// or to wait.
func (d *Decider) decideRunning(now time.Duration) (record Record, due bool) {
	age := d.input.Age(now)
	verdict, reason := d.judge.Verdict()
	switch {
	case verdict == Bad:
		return d.endRecord(now, RolledBack, reason), true
	case age > d.input.Duration-minMoveTime-moveNotice:
		return d.endRecord(now, RolledBack, "no decision in time: "+reason), true
	case age >= d.input.Record.DecisionAt && d.judge.BadUnderLoad():
		return d.endRecord(now, RolledBack, "bad answers under load"), true
	case (verdict == Healthy || verdict == ProvenHealthy) && age >= d.input.Record.DecisionAt:
		moveAt, ok := d.moveAt(now, verdict)
		return d.moveRecord(age, moveAt, reason), ok
	default:
		return Record{}, false
	}
}

// moveAt returns the age at which traffic moves: late enough that the target keeps its bound even if
// it is bad. If that leaves no time for a move, a target that is proven healthy moves now; for any
// other, ok is false.
func (d *Decider) moveAt(now time.Duration, verdict Verdict) (at time.Duration, ok bool) {
	age := d.input.Age(now)
	longest := min(d.affordableMoveTime(now, age, minDeviations), maxMoveTime)
	if longest < minMoveTime {
		return age, verdict == ProvenHealthy
	}
	length := min(max(d.affordableMoveTime(now, age, preferredDeviations), preferredMoveTime), longest)
	return max(age+moveNotice, d.input.Duration-length), true
}

// boundAllowsRest reports whether the bound covers the requests expected until the deadline.
func (d *Decider) boundAllowsRest(now, age time.Duration) bool {
	return d.affordableMoveTime(now, age, 0) >= d.input.Duration-age
}

// affordableMoveTime returns for how long before the deadline the bound allows the target to receive
// all traffic. Since the number of requests varies, the expected number plus the given number of
// standard deviations is assumed. The result is reduced by the uncertainty of the order's age.
func (d *Decider) affordableMoveTime(now, age time.Duration, deviations float64) time.Duration {
	targetAnswers, _ := d.judge.Answers()
	all := float64(d.judge.AllAnswers())
	perSecond := max(all/age.Seconds(), d.judge.AnswersPerSecond(now))
	left := (d.input.Duration - age).Seconds()
	bound := d.bounds.ExposureShare*(all+perSecond*left) + d.bounds.ExposureSlack
	room := max(usableBoundShare*bound-float64(targetAnswers), 0)
	root := (math.Sqrt(deviations*deviations+4*room) - deviations) / 2 // solves expected + deviations * root(expected) = room
	return time.Duration(root*root/perSecond*float64(time.Second)) - d.input.AgeUncertainty()
}

// moveRecord returns the record that moves traffic at moveAt.
func (d *Decider) moveRecord(age, moveAt time.Duration, reason string) Record {
	record := *d.input.Record
	record.Phase, record.Reason, record.Elapsed, record.MoveAt = Moving, reason, age, moveAt
	for _, version := range d.input.Versions {
		known := slices.Contains(record.Before, version) || slices.Contains(record.Excluded, version)
		if version != record.Target && !known {
			record.Before = append(slices.Clone(record.Before), version)
		}
	}
	return record
}

// decideMoving decides in the phase Moving: to complete the move, to roll it back, or to wait.
func (d *Decider) decideMoving(now time.Duration) (record Record, due bool) {
	verdict, reason := d.judge.Verdict()
	age := d.input.Age(now)
	if !d.allConfirmed() {
		d.allConfirmedAt = 0
	} else if d.allConfirmedAt == 0 {
		d.allConfirmedAt = now
	}
	settled := d.allConfirmedAt > 0 && now-d.allConfirmedAt >= settleTime
	switch {
	case verdict == Bad:
		return d.endRecord(now, RolledBack, reason), true
	case d.judge.Suspicious() && age >= d.input.Duration-moveDecisionMargin:
		return d.endUnprovenMove(now, "the latest answers are worse than before")
	case d.judge.Suspicious():
		return Record{}, false
	case verdict != ProvenHealthy && age >= d.input.Duration-moveDecisionMargin && !d.boundAllowsRest(now, age):
		return d.endUnprovenMove(now, "more requests came than the bound bears: "+reason)
	case verdict != ProvenHealthy && d.allConfirmed() && age < d.input.Duration-moveDecisionMargin:
		return Record{}, false // keep observing the target with all traffic
	case settled:
		return d.endRecord(now, Completed, "all nodes have moved"), true
	case age >= d.input.Duration-endWriteMargin && d.allConfirmed():
		return d.endRecord(now, Completed, "all nodes have moved, the deadline is near"), true
	case age >= d.input.Duration-endWriteMargin:
		return d.endUnprovenMove(now, d.moveProgress())
	default:
		return Record{}, false
	}
}

// moveProgress returns the reason for a roll-back at the deadline, with the number of nodes that have
// moved.
func (d *Decider) moveProgress() string {
	return fmt.Sprintf("the deadline is near, %d of %d nodes have moved", d.confirmations(), len(d.input.Nodes))
}

func (d *Decider) allConfirmed() bool { return d.confirmations() == len(d.input.Nodes) }

// confirmations returns the number of live nodes that have moved.
func (d *Decider) confirmations() int {
	count := 0
	for _, node := range d.input.Nodes {
		if d.confirmed[node] {
			count++
		}
	}
	return count
}
