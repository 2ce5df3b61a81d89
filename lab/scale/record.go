package scale

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
)

const (
	recordRepeats = 5
	recordHistory = policy.MaximumHistory
	planAuthor    = "operator@example.org"
	groupsPlanned = 350
)

// recordOf makes a stored record over about so many servers, with a full history.
func recordOf(servers int) policy.Record {
	replicas := max(1, servers/groupsPlanned)
	groups := (servers + replicas - 1) / replicas
	record := policy.Record{
		Format: policy.RecordFormat, Revision: recordHistory + 1,
		Config: policy.Config{Classes: classesOf(), Services: []policy.Service{serviceOf(groups, replicas)}},
	}
	for number := range recordHistory {
		record.History = append(record.History, policy.HistoryEntry{
			Revision: policy.Revision(number + 2), PlanID: planID(number), Author: planAuthor,
			Summary: []string{"services[search].groups[group-001].servers[search-server-00001].slots: 5 -> 6"}, Differences: 1,
		})
	}
	for number := range policy.MaximumRecentPlans {
		record.RecentPlans = append(record.RecentPlans, policy.AppliedPlan{ID: planID(number), Revision: policy.Revision(number + 1)})
	}
	return record
}

func planID(number int) string { return fmt.Sprintf("00000000-0000-4000-8000-%012d", number) }

// recordSweeps measures the configuration record and the machine list.
func recordSweeps() []Sweep {
	return []Sweep{
		{
			Name: "record-servers", Role: "configuration", Size: "servers", Fixed: "350 groups of one service",
			Sizes: []float64{700, 1400, 2800, 4200, 5500}, Today: 70, Planned: 5500,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureRecord(int(size)) },
		},
		{
			Name: "list-machines", Role: "membership", Size: "machines", Fixed: "one reading",
			Sizes: []float64{100, 700, 1400, 3500, 6900}, Today: 94, Planned: 6900,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureList(int(size)) },
		},
	}
}

func measureRecord(servers int) ([]Sample, error) {
	record := recordOf(servers)
	encoded, err := policy.EncodeRecord(record)
	if err != nil {
		return nil, fmt.Errorf("scale: record: %w", err)
	}
	heap, err := heapOfRecord(encoded)
	if err != nil {
		return nil, err
	}
	compressed, err := compress(encoded)
	if err != nil {
		return nil, err
	}
	ofClass, err := change(record, changeClass)
	if err != nil {
		return nil, err
	}
	ofServer, err := change(record, changeServer)
	if err != nil {
		return nil, err
	}
	ofGroup, err := change(record, changeGroup)
	if err != nil {
		return nil, err
	}
	steps := []timedStep{
		{"encode µs", func() error { _, err := policy.EncodeRecord(record); return err }},
		{"decode and validate µs", func() error { _, err := policy.DecodeRecord(encoded); return err }},
		{"of it validate µs", func() error { return policy.Validate(record.Config) }},
		{"gzip µs", func() error { _, err := compress(encoded); return err }},
		{"gunzip µs", func() error { return decompress(compressed) }},
		{"plan and decide, one class, µs", func() error { _, err := change(record, changeClass); return err }},
		{"plan and decide, one server by its service, µs", func() error { _, err := change(record, changeServer); return err }},
		{"plan and decide, one server by its group, µs", func() error { _, err := change(record, changeGroup); return err }},
		{"apply delta of a class µs", ofClass.apply},
		{"apply delta of a group µs", ofGroup.apply},
	}
	times, err := timeSteps(steps, recordRepeats)
	if err != nil {
		return nil, err
	}
	samples := []Sample{
		{"record bytes", float64(len(encoded))},
		{"record bytes, gzip", float64(len(compressed))},
		{"plan bytes, one class", float64(len(ofClass.plan))},
		{"plan bytes, one server by its service", float64(len(ofServer.plan))},
		{"plan bytes, one server by its group", float64(len(ofGroup.plan))},
		{"pushed bytes, one class", float64(len(ofClass.pushed()))},
		{"pushed bytes, one server by its service", float64(len(ofServer.pushed()))},
		{"pushed bytes, one server by its group", float64(len(ofGroup.pushed()))},
		{"heap bytes", heap},
	}
	return append(samples, times...), nil
}

// heapOfRecord is the memory of a record in force: its bytes and what they
// decode to.
func heapOfRecord(encoded []byte) (float64, error) {
	type inForce struct {
		bytes  []byte
		record policy.Record
		err    error
	}
	kept, heap := heapOf(func() *inForce {
		made := &inForce{bytes: bytes.Clone(encoded)}
		made.record, made.err = policy.DecodeRecord(made.bytes)
		return made
	})
	return heap, kept.err
}

// intentKind is what an operator changes.
type intentKind int

const (
	// changeClass changes a class; its intent is small.
	changeClass intentKind = iota + 1
	// changeServer changes one server, for which the intent holds its service whole.
	changeServer
	// changeGroup changes one server, for which the intent holds its group.
	changeGroup
)

func (k intentKind) intent(config policy.Config) policy.Intent {
	intent := policy.Intent{Author: planAuthor}
	if k == changeClass {
		class := config.Classes[0]
		class.LongestWait++
		intent.Changes = []policy.Change{{SetClass: &class}}
		return intent
	}
	service := config.Services[0]
	service.Groups = slices.Clone(service.Groups)
	service.Groups[0].Servers = slices.Clone(service.Groups[0].Servers)
	service.Groups[0].Servers[0].Slots++
	intent.Changes = []policy.Change{{SetService: &service}}
	if k == changeGroup {
		change := policy.GroupChange{Service: service.Name, Group: service.Groups[0]}
		intent.Changes = []policy.Change{{SetGroup: &change}}
	}
	return intent
}

// acceptedChange is one change of a record, as operators and nodes carry it.
type acceptedChange struct {
	base policy.Record
	// plan is the encoded plan document, record the encoded record that it
	// leads to.
	plan, record []byte
	// delta is what nodes push; it is empty when they push the record whole.
	delta []byte
}

// change plans, decides and encodes a change of a record.
func change(base policy.Record, kind intentKind) (acceptedChange, error) {
	plan, err := policy.NewPlan(policy.PlanOptions{ID: "plan", Base: base, Intent: kind.intent(base.Config), Nodes: plannedNodes})
	if err != nil {
		return acceptedChange{}, fmt.Errorf("scale: plan: %w", err)
	}
	decision, err := policy.Decide(base, plan, time.Unix(firstIncarnation/1000, 0))
	if err != nil {
		return acceptedChange{}, fmt.Errorf("scale: decide: %w", err)
	}
	made := acceptedChange{base: base}
	if made.plan, err = policy.EncodePlan(plan); err != nil {
		return acceptedChange{}, fmt.Errorf("scale: plan: %w", err)
	}
	if made.record, err = policy.EncodeRecord(decision.Next); err != nil {
		return acceptedChange{}, fmt.Errorf("scale: record: %w", err)
	}
	if delta, ok := policy.EncodeDelta(decision.Next, policy.RecordDigest(made.record)); ok {
		made.delta = delta
	}
	return made, nil
}

// pushed is what a node pushes to another one.
func (c acceptedChange) pushed() []byte {
	if c.delta != nil {
		return c.delta
	}
	return c.record
}

// apply is what a node does with a delta: it makes the next record and checks it.
func (c acceptedChange) apply() error {
	delta, err := policy.DecodeDelta(c.delta)
	if err != nil {
		return fmt.Errorf("scale: delta: %w", err)
	}
	if _, _, err := policy.ApplyDelta(c.base, delta); err != nil {
		return fmt.Errorf("scale: delta: %w", err)
	}
	return nil
}

func measureList(machines int) ([]Sample, error) {
	list := machinelist.List{Version: 1}
	for index := range machines {
		list.Machines = append(list.Machines, machinelist.Machine{
			ID: fmt.Sprintf("search-server-%05d", index), Address: addressOf(index, 7100), Zone: zoneName(index),
			Role: machinelist.RoleServer, State: machinelist.StateLive, Incarnation: fmt.Sprintf("%016x", firstIncarnation+index),
		})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("scale: machine list: %w", err)
	}
	compressed, err := compress(encoded)
	if err != nil {
		return nil, err
	}
	times, err := timeSteps([]timedStep{{"decode µs", func() error {
		var decoded machinelist.List
		return json.Unmarshal(encoded, &decoded)
	}}}, recordRepeats)
	samples := []Sample{
		{"list bytes", float64(len(encoded))},
		{"list bytes, gzip", float64(len(compressed))},
	}
	return append(samples, times...), err
}

// timedStep is a piece of work whose processor time is a quantity.
type timedStep struct {
	quantity string
	run      func() error
}

// timeSteps runs each step several times, after once untimed, and returns the
// mean processor time of each in microseconds.
func timeSteps(steps []timedStep, repeats int) ([]Sample, error) {
	watch, err := NewStopwatch()
	if err != nil {
		return nil, err
	}
	defer watch.Close()
	var samples []Sample
	for _, step := range steps {
		failed := step.run()
		watch.Reset()
		for range repeats {
			watch.Time(func() {
				if err := step.run(); err != nil {
					failed = err
				}
			})
		}
		if failed != nil {
			return nil, fmt.Errorf("scale: %s: %w", step.quantity, failed)
		}
		samples = append(samples, Sample{step.quantity, microseconds(watch.Total()) / float64(repeats)})
	}
	return samples, nil
}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("scale: gzip: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("scale: gzip: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("scale: gzip: %w", err)
	}
	return compressed.Bytes(), nil
}

func decompress(compressed []byte) error {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return fmt.Errorf("scale: gunzip: %w", err)
	}
	if _, err := io.Copy(io.Discard, reader); err != nil {
		return fmt.Errorf("scale: gunzip: %w", err)
	}
	return nil
}
