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
	// takeoverTime is how much later each decider acts than the one before it, if what is
	// due has not happened: a write to the registry and until all have heard of it.
	takeoverTime = time.Second
	// againTime is the time until a write that was answered with a failure, or whose answer
	// was lost, is tried again: by then its effect has been heard of.
	againTime = time.Second
	// mostGrants bounds the nodes of a record's grants.
	mostGrants = 64
)

// DeciderInput is what a decider knows of the service and of the nodes.
type DeciderInput struct {
	State
	// OrderFault is what is wrong with the order; empty is nothing.
	OrderFault string
	// Epoch is the registry's, and RecordRevision its revision of the record, or of what stands
	// in its place since it came back from a copy; zero is that there is none.
	Epoch          uint64
	RecordRevision uint64
	// Versions are those of the service's servers that take work, sorted.
	Versions []string
	// ServiceKnown says that the service stands in the table in force.
	ServiceKnown bool
	// DeciderIndex is this node's among the deciders; negative is that it is none.
	DeciderIndex int
	// Nodes are all that are there, and Serving those to which callers are sent.
	Nodes, ServingNodes []string
	// MaxViewAge is the greatest age of a belief of the registry of late.
	MaxViewAge time.Duration
}

// Write asks the owner to write a record, and the status that it makes, on the condition
// that order and record stand at the revisions given; zero is that there is none.
type Write struct {
	Service                       string
	Record                        Record
	OrderRevision, RecordRevision uint64
	// AlarmTTL asks for an alarm of the order that the registry takes away after so long; zero
	// asks for none.
	AlarmTTL time.Duration
}

// Decider drives one service's orders through their phases. It is pure, and not safe for
// concurrent use.
type Decider struct {
	service string
	bounds  Bounds
	world   DeciderInput
	judge   *Judge
	// order is the one that the judge judges.
	order uint64
	// confirmed tells which nodes know that traffic moves and have nothing of value left
	// at the versions before.
	confirmed map[string]bool
	// movedAt is since when all have confirmed; zero is that some have not.
	movedAt time.Duration
	// due is what is to be written, since when.
	due      Record
	dueSince time.Duration
	isDue    bool
	// wrote is the revision of the record that this decider wrote last.
	wrote uint64
	// waitUntil is until when a write that was sent is awaited.
	waitUntil time.Duration
}

// NewDecider returns a decider for a service.
func NewDecider(service string, bounds Bounds) *Decider {
	return &Decider{service: service, bounds: bounds, judge: NewJudge(), confirmed: make(map[string]bool)}
}

// Observe takes what is known now.
func (d *Decider) Observe(now time.Duration, world DeciderInput) {
	if world.Order != d.order {
		d.order, d.judge = world.Order, NewJudge()
	}
	if world.Epoch == d.world.Epoch && world.RecordRevision < d.world.RecordRevision && world.Order == d.world.Order {
		world.Record, world.RecordRevision, world.RecordLost = d.world.Record, d.world.RecordRevision, d.world.RecordLost // what was written is not heard of yet
	}
	if world.RecordRevision != d.world.RecordRevision || world.Epoch != d.world.Epoch {
		d.isDue, d.waitUntil = false, 0
		if !world.sameStage(d.world.State) { // else it is the record that was lost, or is written again
			clear(d.confirmed)
			d.movedAt = 0
		}
	}
	d.world = world
}

// AddReport takes a node's report.
func (d *Decider) AddReport(now time.Duration, report Report) {
	if report.Order != d.order || report.Order == 0 {
		return
	}
	d.judge.AddReport(now, report)
	d.confirmed[report.Node] = report.Moved && report.Remaining == 0
}

// Halt reports whether nodes must give the target nothing more, before they hear it from
// the registry. Once traffic moves that is so only when the record has ended: another
// decider may have made the move final meanwhile, and the servers before it have stopped.
func (d *Decider) Halt() bool {
	record := d.world.Record
	if !d.world.current() {
		return false
	}
	verdict, _ := d.judge.Verdict()
	return record.Phase == RolledBack || record.Phase == Running && verdict == Bad
}

// WriteRejected takes the answer that order or record stand at other revisions: what this decider
// took for written may not be, and what it hears next counts.
func (d *Decider) WriteRejected() {
	d.wrote = 0
	d.world.Record, d.world.RecordRevision = nil, 0
}

// WriteAccepted takes the answer that a record stands as it was asked for, at a revision.
func (d *Decider) WriteAccepted(now time.Duration, write Write, revision uint64) {
	isOther := write.Record.Epoch != d.world.Epoch || write.OrderRevision != d.world.OrderRevision
	if isOther || revision <= d.world.RecordRevision {
		return
	}
	d.wrote = revision
	world := d.world
	world.Record, world.RecordRevision, world.RecordLost, world.RecordSeenAt = &write.Record, revision, false, now
	d.Observe(now, world)
}

// Judge is that of the order.
func (d *Decider) Judge() *Judge { return d.judge }

// Active reports whether there is something to decide.
func (d *Decider) Active() bool { return !d.world.Ended() || d.world.NeedsRewrite() }

// Tick returns what this node should write now; ok is false when that is nothing.
func (d *Decider) Tick(now time.Duration) (write Write, ok bool) {
	record, due := d.next(now)
	if !due || d.world.DeciderIndex < 0 {
		d.isDue = false
		return Write{}, false
	}
	if !d.isDue || record.Phase != d.due.Phase || record.Order != d.due.Order {
		d.isDue, d.dueSince = true, now
	}
	d.due = record
	if now < d.dueSince+d.delay(now) || now < d.waitUntil {
		return Write{}, false
	}
	d.waitUntil = now + againTime
	record.Epoch, record.OrderRevision = d.world.Epoch, d.world.OrderRevision
	write = Write{
		Service:        d.service,
		Record:         record,
		OrderRevision:  d.world.OrderRevision,
		RecordRevision: d.world.RecordRevision,
	}
	if record.Phase == Running && record.HasAlarm {
		write.AlarmTTL = record.DecisionAt - record.Elapsed
	}
	return write, true
}

// delay is how long what is due waits for the deciders before this one. That the target is
// bad waits for nobody, nor does what is due near the deadline, nor a decider that has
// acted in the others' place.
func (d *Decider) delay(now time.Duration) time.Duration {
	verdict, _ := d.judge.Verdict()
	hasTakenOver := d.wrote > 0 && d.wrote == d.world.RecordRevision
	isLate := d.world.Order != 0 && d.world.Age(now) >= d.world.Duration-lastMoment-takeoverTime
	if verdict == Bad || hasTakenOver || isLate {
		return 0
	}
	return time.Duration(d.world.DeciderIndex) * takeoverTime
}

// next is the record that should stand next. One that the registry has lost is written again,
// or what follows on it.
func (d *Decider) next(now time.Duration) (record Record, due bool) {
	record, due = d.following(now)
	if !due && d.world.NeedsRewrite() {
		return d.again(now), true
	}
	return record, due
}

// again is the record as it stood.
func (d *Decider) again(now time.Duration) Record {
	record := *d.world.Record
	if !record.Phase.Ended() {
		record.Elapsed = d.world.Age(now)
	}
	return record
}

// following is the record that follows on the one that stands.
func (d *Decider) following(now time.Duration) (record Record, due bool) {
	switch {
	case d.world.Ended():
		return Record{}, false
	case d.world.Order == 0:
		return d.end(now, RolledBack, "the order was taken back"), true
	case !d.world.current():
		return d.begin(now), true
	case d.world.Record.Phase == Moving:
		return d.whileMoving(now)
	default:
		return d.whileRunning(now)
	}
}

// end is the record with its last phase.
func (d *Decider) end(now time.Duration, phase Phase, reason string) Record {
	record := *d.world.Record
	record.Phase, record.Reason, record.Grants = phase, reason, nil
	if d.world.Order != 0 {
		record.Elapsed = d.world.Age(now)
	}
	return record
}

// begin is the first record of an order.
func (d *Decider) begin(now time.Duration) Record {
	age := d.world.Age(now)
	record := Record{
		Order:    d.world.Order,
		Target:   d.world.Target,
		Phase:    Running,
		Elapsed:  age,
		Granted:  age,
		Excluded: d.asideOf(d.world.Target),
	}
	for _, version := range d.world.Versions {
		if version != record.Target && !slices.Contains(record.Excluded, version) {
			record.Before = append(record.Before, version)
		}
	}
	record.DecisionAt = max(decisionAt(d.world.Duration, d.world.MaxViewAge), age)
	switch {
	case d.world.OrderFault != "":
		record.Phase, record.Reason = RolledBack, d.world.OrderFault
	case !d.world.ServiceKnown:
		record.Phase, record.Reason = RolledBack, "service: "+d.service+" is not known"
	case len(record.Before) == 0 && slices.Contains(d.world.Versions, record.Target):
		record.Phase, record.Reason = Completed, "the target is the only version"
	default:
		record.Grants = d.grants()
		left := record.DecisionAt - record.Elapsed
		record.HasAlarm = left > 0 && left <= longestAlarm
	}
	return record
}

// asideOf lists the versions that get nothing beside a new target.
func (d *Decider) asideOf(target string) []string {
	last := d.world.Record
	if last == nil {
		return nil
	}
	aside := slices.Clone(last.Excluded)
	if last.Phase == Completed {
		aside = append(aside, last.Before...)
	} else {
		aside = append(aside, last.Target)
	}
	slices.Sort(aside)
	aside = slices.Compact(aside)
	return slices.DeleteFunc(aside, func(version string) bool { return version == target || version == "" })
}

// grants divides the fixed number among the nodes that serve callers.
func (d *Decider) grants() map[string]int {
	nodes := slices.Sorted(slices.Values(d.world.ServingNodes))
	nodes = nodes[:min(len(nodes), mostGrants)]
	whole := int(extrabudget.Usable(d.bounds.ExposureSlack))
	grants := make(map[string]int, len(nodes))
	for place, node := range nodes {
		grants[node] = whole / len(nodes)
		if place < whole%len(nodes) {
			grants[node]++
		}
	}
	maps.DeleteFunc(grants, func(_ string, count int) bool { return count == 0 })
	return grants
}

// whileRunning decides on the target's evidence.
func (d *Decider) whileRunning(now time.Duration) (record Record, due bool) {
	age := d.world.Age(now)
	verdict, why := d.judge.Verdict()
	switch {
	case verdict == Bad:
		return d.end(now, RolledBack, why), true
	case age > d.world.Duration-leastMove-moveNotice:
		return d.end(now, RolledBack, "no decision in time: "+why), true
	case age >= d.world.Record.DecisionAt && d.judge.BadUnderLoad():
		return d.end(now, RolledBack, "bad answers under load"), true
	case (verdict == Healthy || verdict == ProvenHealthy) && age >= d.world.Record.DecisionAt:
		moveAt, bearable := d.moveAt(now, verdict)
		return d.move(age, moveAt, why), bearable
	default:
		return Record{}, false
	}
}

// moveAt is how old the order is to be when traffic moves: so late that the target keeps its
// bound even if it is bad. Where that leaves no time for the move, one that is proven moves now,
// and ok is false for another.
func (d *Decider) moveAt(now time.Duration, verdict Verdict) (at time.Duration, ok bool) {
	age := d.world.Age(now)
	longest := min(d.bearable(now, age, tightDeviations), longestMove)
	if longest < leastMove {
		return age, verdict == ProvenHealthy
	}
	length := min(max(d.bearable(now, age, wideDeviations), easyMove), longest)
	return max(age+moveNotice, d.world.Duration-length), true
}

// bears reports whether the bound bears the traffic that is expected until the deadline.
func (d *Decider) bears(now, age time.Duration) bool {
	return d.bearable(now, age, 0) >= d.world.Duration-age
}

// bearable is how long before the deadline the target may get all traffic, as far as the bound
// goes. Requests come by chance: some standard deviations more of them are counted, too, and the
// order may be younger than it is thought to be.
func (d *Decider) bearable(now, age time.Duration, deviations float64) time.Duration {
	given, _ := d.judge.Answers()
	all := float64(d.judge.AllAnswers())
	perSecond := max(all/age.Seconds(), d.judge.AnswersPerSecond(now))
	left := (d.world.Duration - age).Seconds()
	bound := d.bounds.ExposureShare*(all+perSecond*left) + d.bounds.ExposureSlack
	room := max(bearableShare*bound-float64(given), 0)
	root := (math.Sqrt(deviations*deviations+4*room) - deviations) / 2 // of expected + deviations * root(expected) = room
	return time.Duration(root*root/perSecond*float64(time.Second)) - d.world.AgeUncertainty()
}

// move is the record by which traffic moves.
func (d *Decider) move(age, moveAt time.Duration, why string) Record {
	record := *d.world.Record
	record.Phase, record.Reason, record.Elapsed, record.MoveAt = Moving, why, age, moveAt
	for _, version := range d.world.Versions {
		known := slices.Contains(record.Before, version) || slices.Contains(record.Excluded, version)
		if version != record.Target && !known {
			record.Before = append(slices.Clone(record.Before), version)
		}
	}
	return record
}

// whileMoving decides when the move is final.
func (d *Decider) whileMoving(now time.Duration) (record Record, due bool) {
	verdict, why := d.judge.Verdict()
	age := d.world.Age(now)
	if !d.allConfirmed() {
		d.movedAt = 0
	} else if d.movedAt == 0 {
		d.movedAt = now
	}
	settled := d.movedAt > 0 && now-d.movedAt >= settleTime
	switch {
	case verdict == Bad:
		return d.end(now, RolledBack, why), true
	case d.judge.Suspicious() && age >= d.world.Duration-lastChance:
		return d.end(now, RolledBack, "the latest answers are worse than before"), true
	case d.judge.Suspicious():
		return Record{}, false
	case verdict != ProvenHealthy && age >= d.world.Duration-lastChance && !d.bears(now, age):
		return d.end(now, RolledBack, "more requests came than the bound bears: "+why), true
	case verdict != ProvenHealthy && d.allConfirmed() && age < d.world.Duration-lastChance:
		return Record{}, false // what it does with all traffic is still being seen
	case settled:
		return d.end(now, Completed, "all nodes have moved"), true
	case age >= d.world.Duration-lastMoment && d.allConfirmed():
		return d.end(now, Completed, "all nodes have moved, the deadline is near"), true
	case age >= d.world.Duration-lastMoment:
		return d.end(now, RolledBack, d.progress()), true
	default:
		return Record{}, false
	}
}

// progress tells how many nodes have moved.
func (d *Decider) progress() string {
	return fmt.Sprintf("the deadline is near, %d of %d nodes have moved", d.confirmations(), len(d.world.Nodes))
}

func (d *Decider) allConfirmed() bool { return d.confirmations() == len(d.world.Nodes) }

// confirmations counts the nodes that have moved.
func (d *Decider) confirmations() int {
	count := 0
	for _, node := range d.world.Nodes {
		if d.confirmed[node] {
			count++
		}
	}
	return count
}
