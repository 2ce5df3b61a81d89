package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/banksail/banksail/lab/history"
)

// validJournal records a run without violations, in which one non-repeatable request was rejected
// by a node and then answered by another.
const validJournal = `{"event":{"kind":"node_started","subject":"n1","address":"10.0.0.1:80","at_ns":1000000001}}
{"event":{"kind":"node_started","subject":"n2","address":"10.0.0.2:80","at_ns":1000000001}}
{"key_space":{"service":"ledger","range":{"start":0,"end":10}}}
{"call":{"id":1,"request_id":"r","node":"10.0.0.1:80","service":"ledger","class":"batch","repeatable":false,"deadline_ns":1000000000,"minimum_coverage":0,"at_ns":2000000000}}
{"answer":{"call":1,"at_ns":2010000000,"kind":"refusal","execution":"not_run","request_id":"r"}}
{"call":{"id":2,"request_id":"r","node":"10.0.0.2:80","service":"ledger","class":"batch","repeatable":false,"deadline_ns":1000000000,"minimum_coverage":0,"at_ns":2100000000}}
{"attempt":{"server":"s1","attempt_id":"a1","request_id":"r","service":"ledger","snapshot":1,"range":{"start":0,"end":10},"sent_at_ns":2110000000,"arrived_at_ns":2110000000,"executed":true}}
{"answer":{"call":2,"at_ns":2120000000,"kind":"result","execution":"done","request_id":"r","snapshot":1,"coverage":1,"complete":true,"parts":[{"range":{"start":0,"end":10},"server":"s1","request_id":"r","snapshot":1,"whole":true}]}}
{"accepted":{"revision":1,"digest":"","plan_id":"p","at_ns":1500000000}}
{"confirmation":{"operator":"o","plan_id":"p","result":"applied","revision":1,"at_ns":1600000000}}
{"in_force":{"node":"n1","revision":1,"at_ns":1700000000}}
{"in_force":{"node":"n2","revision":1,"at_ns":1700000000}}
{"in_force":{"node":"n1","revision":1,"at_ns":9000000000}}
`

// runJudge runs the command on a journal and returns its output and error.
func runJudge(t *testing.T, command *judgeCommand, journal string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "run.jsonl")
	if err := os.WriteFile(path, []byte(journal), 0o600); err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	err := command.run(&output, []string{path})
	return output.String(), err
}

// Each alteration of a valid journal is reported as a violation of the invariant that it breaks.
func TestJudge(t *testing.T) {
	tests := []struct {
		name      string
		replace   []string
		invariant history.Invariant
	}{
		{name: "sound"},
		{"ran again", []string{`{"accepted"`, `{"attempt":{"server":"s2","attempt_id":"a2","request_id":"r","service":"ledger","snapshot":1,"range":{"start":0,"end":10},"sent_at_ns":2130000000,"arrived_at_ns":2130000000,"executed":true}}` + "\n" + `{"accepted"`}, history.AtMostOnce},
		{"ran before it was refused", []string{`"arrived_at_ns":2110000000`, `"arrived_at_ns":2005000000`}, history.NotRun},
		{"mixed snapshots", []string{`"snapshot":1,"whole"`, `"snapshot":2,"whole"`}, history.OneSnapshot},
		{"inflated coverage", []string{`"parts":[{"range":{"start":0,"end":10}`, `"parts":[{"range":{"start":0,"end":5}`}, history.TrueCoverage},
		{"another's answer", []string{`"execution":"done","request_id":"r"`, `"execution":"done","request_id":"q"`}, history.OwnAnswer},
		{"reverted", []string{`{"node":"n1","revision":1,"at_ns":9`, `{"node":"n1","revision":0,"at_ns":9`}, history.Configuration},
		{"late", []string{`"at_ns":2120000000,"kind":"result"`, `"at_ns":8120000000,"kind":"result"`}, history.OneFinalAnswer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			command := &judgeCommand{options: history.DefaultOptions()}
			output, err := runJudge(t, command, strings.NewReplacer(test.replace...).Replace(validJournal))
			if test.invariant == "" {
				if err != nil {
					t.Fatalf("%v\n%s", err, output)
				}
				return
			}
			if !errors.Is(err, errViolations) || !strings.Contains(output, "violation: "+string(test.invariant)) {
				t.Errorf("error %v\n%s", err, output)
			}
		})
	}
}

// With --safety-only an answer after its deadline is no violation.
func TestJudgeSafetyOnlySkipsTimingInvariants(t *testing.T) {
	late := strings.Replace(validJournal, `"at_ns":2120000000,"kind":"result"`, `"at_ns":8120000000,"kind":"result"`, 1)
	command := &judgeCommand{options: history.DefaultOptions(), safetyOnly: true}
	output, err := runJudge(t, command, late)
	if err != nil || !strings.Contains(output, "not judged") {
		t.Errorf("error %v\n%s", err, output)
	}
}

// With --require-all the command fails if the journal has nothing to check some invariant against.
func TestJudgeRequireAllFailsIfNothingToJudge(t *testing.T) {
	command := &judgeCommand{options: history.DefaultOptions(), requireAll: true}
	if output, err := runJudge(t, command, validJournal); !errors.Is(err, errInvariantNotJudged) {
		t.Errorf("error %v\n%s", err, output)
	}
}
