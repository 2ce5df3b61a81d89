package history

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

// epoch is the start of the test histories as a duration since the Unix epoch.
const epoch = 1_796_000_000 * second

// splitIntoJournals splits a history into journals as the processes of a real run
// write them: one per caller, one for the other records and one for the events.
func splitIntoJournals(t *testing.T, h *History) [][]Entry {
	t.Helper()
	callers := map[string]*[]Entry{"n1": {}, "n2": {}}
	nodes := make(map[CallID]string)
	for _, call := range h.Calls {
		nodes[call.ID] = call.Node
		call.At += epoch
		call.Node = addressOf(call.Node)
		*callers[nodes[call.ID]] = append(*callers[nodes[call.ID]], Entry{Call: &call})
	}
	for _, answer := range h.Answers {
		answer.At += epoch
		*callers[nodes[answer.Call]] = append(*callers[nodes[answer.Call]], Entry{Answer: &answer})
	}
	var journals [][]Entry
	for _, entries := range [][]Entry{*callers["n1"], *callers["n2"], recordEntries(h), eventEntries(h)} {
		journals = append(journals, writeAndRead(t, entries))
	}
	return journals
}

func addressOf(node string) string { return "10.0.0." + node[1:] + ":80" }

func recordEntries(h *History) []Entry {
	var entries []Entry
	for _, keySpace := range h.KeySpaces {
		entries = append(entries, Entry{KeySpace: &keySpace})
	}
	for _, attempt := range h.Attempts {
		attempt.SentAt += epoch
		attempt.ArrivedAt += epoch
		entries = append(entries, Entry{Attempt: &attempt})
	}
	for _, accepted := range h.Accepted {
		accepted.At += epoch
		entries = append(entries, Entry{Accepted: &accepted})
	}
	for _, inForce := range h.InForce {
		inForce.At += epoch
		entries = append(entries, Entry{InForce: &inForce})
	}
	for _, confirmation := range h.Confirmations {
		confirmation.At += epoch
		entries = append(entries, Entry{Confirmation: &confirmation})
	}
	return entries
}

func eventEntries(h *History) []Entry {
	events := []Event{{Kind: EventFaultsEnded, At: h.FaultsEnd}}
	add := func(kind EventKind, subject string, at time.Duration) {
		events = append(events, Event{Kind: kind, Subject: subject, At: at})
	}
	for _, run := range h.Runs {
		events = append(events, Event{Kind: EventNodeStarted, Subject: run.Node, Address: addressOf(run.Node), At: run.Start})
		if run.StopRequestedAt != 0 {
			add(EventNodeStopRequested, run.Node, run.StopRequestedAt)
		}
		if run.End != 0 {
			add(EventNodeEnded, run.Node, run.End)
		}
	}
	for _, leaving := range h.Leaving {
		add(EventServerLeaving, leaving.Server, leaving.At)
	}
	var entries []Entry
	for _, event := range events {
		event.At += epoch
		entries = append(entries, Entry{Event: &event})
	}
	// The latest time in the journals defines the end of the run, so that an entry
	// with that time is needed.
	last := InForce{Node: "nobody", At: epoch + h.End}
	return append(entries, Entry{InForce: &last})
}

func writeAndRead(t *testing.T, entries []Entry) []Entry {
	t.Helper()
	var buffer bytes.Buffer
	journal := NewJournal(&buffer)
	for _, entry := range entries {
		journal.Write(entry)
	}
	if err := journal.Flush(); err != nil {
		t.Fatal(err)
	}
	read, err := ReadJournal(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func TestJoinedJournalsPassLikeOriginalHistory(t *testing.T) {
	joined, err := Join(splitIntoJournals(t, validHistory())...)
	if err != nil {
		t.Fatal(err)
	}
	report := Check(joined, DefaultOptions())
	if len(report.Violations) != 0 {
		t.Errorf("violations: %v", report.Violations)
	}
	want := Check(validHistory(), DefaultOptions())
	for _, invariant := range Invariants() {
		if report.Checked[invariant] != want.Checked[invariant] {
			t.Errorf("%s: checked %d items, want %d", invariant, report.Checked[invariant], want.Checked[invariant])
		}
	}
}

func TestJoinedJournalsShowEachViolation(t *testing.T) {
	for _, test := range corruptions() {
		t.Run(test.name, func(t *testing.T) {
			joined, err := Join(splitIntoJournals(t, test.corruptedHistory())...)
			if err != nil {
				t.Fatal(err)
			}
			if report := Check(joined, DefaultOptions()); !test.isDetectedIn(report) {
				t.Fatalf("corruption not detected; violations: %v", report.Violations)
			}
		})
	}
}

func TestJoinConvertsEventsToRunsAndDisturbances(t *testing.T) {
	var entries []Entry
	for index, event := range []Event{
		{Kind: EventNodeStarted, Subject: "n1", Address: "10.0.0.1:80"},
		{Kind: EventNodeFrozen, Subject: "n1"},
		{Kind: EventNodeThawed, Subject: "n1"},
		{Kind: EventNodeKilled, Subject: "n1"},
		{Kind: EventNodeStarted, Subject: "n1", Address: "10.0.0.1:80"},
		{Kind: EventServerLeaving, Subject: "s1"},
		{Kind: EventServerReturned, Subject: "s1"},
		{Kind: EventNodeFrozen, Subject: "n1"},
	} {
		event.At = epoch + time.Duration(index)*second
		entries = append(entries, Entry{Event: &event})
	}
	joined, err := Join(entries)
	if err != nil {
		t.Fatal(err)
	}
	at := func(seconds int) time.Duration { return time.Duration(seconds)*second + 1 }
	if len(joined.Runs) != 2 || joined.Runs[0] != (NodeRun{Node: "n1", Start: at(0), End: at(3), Killed: true}) ||
		joined.Runs[1] != (NodeRun{Node: "n1", Start: at(4)}) {
		t.Errorf("runs: %+v", joined.Runs)
	}
	frozen := []Disturbance{
		{Kind: Frozen, Host: "n1", From: at(1), To: at(2)},
		{Kind: Frozen, Host: "n1", From: at(7), To: at(7)},
	}
	if len(joined.Disturbances) != 2 || joined.Disturbances[0] != frozen[0] || joined.Disturbances[1] != frozen[1] {
		t.Errorf("disturbances: %+v", joined.Disturbances)
	}
	if len(joined.Leaving) != 1 || joined.Leaving[0] != (ServerLeaving{Server: "s1", At: at(5), Until: at(6)}) {
		t.Errorf("leaving: %+v", joined.Leaving)
	}
}

func TestInvalidJournalsAreRejected(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no JSON", "call"},
		{"unknown field", `{"cal":{}}`},
		{"nothing", `{}`},
		{"two fields", `{"event":{"kind":"faults_ended","at_ns":1},"answer":{"call":1,"at_ns":1,"kind":"result"}}`},
		{"unknown event", `{"event":{"kind":"party","at_ns":1}}`},
		{"end of what never began", `{"event":{"kind":"node_ended","subject":"n1","at_ns":1}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entries, err := ReadJournal(strings.NewReader(test.text))
			if err == nil {
				_, err = Join(entries)
			}
			if !errors.Is(err, ErrInvalidJournal) {
				t.Errorf("got error %v, want ErrInvalidJournal", err)
			}
		})
	}
}
