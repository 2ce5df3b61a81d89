package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/spread"
	"github.com/banksail/banksail/store"
)

// fixedExplanations has an explanation of the request "known" only.
type fixedExplanations struct{}

func (fixedExplanations) FindExplanation(id string) (json.RawMessage, bool) {
	document := `{"request_id":"known","node":"node-a","reason":"deadline","coverage":0.5,"steps":[{"at_ns":1000000,"what":"first send","attempt":7,"server":"s1","range":{"start":0,"end":9}}]}`
	return json.RawMessage(document), id == "known"
}

// fixedNodes is a fixed list of nodes.
type fixedNodes []operator.Node

func (n fixedNodes) Nodes(context.Context, policy.Revision) []operator.Node {
	return append([]operator.Node{}, n...)
}

// testEnvironment runs command lines against the operator API of one node with a store in memory.
type testEnvironment struct {
	t         *testing.T
	store     *store.Memory
	address   string
	directory string
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	memory := store.NewMemory(store.MemoryOptions{})
	replicator := spread.NewReplicator(spread.ReplicatorOptions{
		Core:           spread.CoreOptions{Self: "node-a"},
		Store:          memory,
		Logger:         zerolog.Nop(),
		ConfirmTimeout: 2 * time.Second,
	})
	service := operator.NewService(operator.Options{
		Self:           "node-a",
		Configurations: replicator,
		Nodes:          fixedNodes{{ID: "node-a", Zone: "z1", Address: "10.0.0.1:1", State: "live"}, {ID: "node-b", State: "live"}},
		Explanations:   fixedExplanations{},
		Logger:         zerolog.Nop(),
	})
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return &testEnvironment{t: t, store: memory, address: strings.TrimPrefix(server.URL, "http://"), directory: t.TempDir()}
}

func (env *testEnvironment) path(name string) string { return filepath.Join(env.directory, name) }

func (env *testEnvironment) write(name, content string) string {
	env.t.Helper()
	if err := os.WriteFile(env.path(name), []byte(content), 0o600); err != nil {
		env.t.Fatal(err)
	}
	return env.path(name)
}

// run executes a command line and returns its exit status, standard output and error output.
func (env *testEnvironment) run(arguments ...string) (status subcommands.ExitStatus, output, errorOutput string) {
	env.t.Helper()
	var out, errOut bytes.Buffer
	flags := flag.NewFlagSet("banksailctl", flag.ContinueOnError)
	flags.SetOutput(&errOut)
	commander := subcommands.NewCommander(flags, "banksailctl")
	commander.Output = &out
	commander.Error = &errOut
	register(commander, &out, &errOut)
	if err := flags.Parse(arguments); err != nil {
		env.t.Fatal(err)
	}
	status = commander.Execute(context.Background())
	return status, out.String(), errOut.String()
}

const classIntent = `
author: ann
note: a first class
changes:
  - set_class: {name: urgent, order: 0, longest_wait_ms: 20, deadline_ms: 100, minimum_coverage: 0.9, hedge_share: 0.05, headroom: 0.2}
`

// mustRun executes a command line and fails the test unless it succeeds and its output contains
// want.
func (env *testEnvironment) mustRun(want string, arguments ...string) {
	env.t.Helper()
	status, output, errorOutput := env.run(arguments...)
	if status != subcommands.ExitSuccess || !strings.Contains(output, want) {
		env.t.Fatalf("%v: status %d, output %q, errors %q; want %q", arguments, status, output, errorOutput, want)
	}
}

func TestPlanConfirmAndQuery(t *testing.T) {
	env := newTestEnvironment(t)
	intent, plan := env.write("intent.yaml", classIntent), env.path("plan.json")
	env.mustRun("+ classes[urgent]", "plan", "--node", env.address, "--out", plan, intent)
	env.mustRun("applied: revision 1", "confirm", "--node", env.address, plan)
	env.mustRun("applied already: revision 1", "confirm", "--node", env.address, plan)
	env.mustRun("revision 1 in force on 1 of 2 live nodes", "status", "--node", env.address)
	env.mustRun("behind: node-b", "status", "--node", env.address)
	env.mustRun("a first class", "history", "--node", env.address)
	env.mustRun("node-a  z1    10.0.0.1:1  live   1", "nodes", "--node", env.address)
	env.mustRun("1ms    first send  7        s1      [0, 9)", "explain", "--node", env.address, "known")
	env.mustRun("urgent  0      20ms", "config", "--node", env.address)
	env.mustRun(`"minimum_coverage": 0.9`, "config", "--json", "--node", env.address)
	data, err := os.ReadFile(plan)
	if err != nil {
		t.Fatal(err)
	}
	document, err := policy.DecodePlan(data)
	if err != nil {
		t.Fatal(err)
	}
	env.mustRun("applied as revision 1", "status", "--node", env.address, "--plan", document.ID, "--base", "0")
}

func TestExitStatuses(t *testing.T) {
	env := newTestEnvironment(t)
	intent, plan, other := env.write("intent.yaml", classIntent), env.path("plan.json"), env.path("other.json")
	env.mustRun("plan ", "plan", "--node", env.address, "--out", plan, intent)
	env.mustRun("plan ", "plan", "--node", env.address, "--out", other, "--author", "bob", intent)
	env.mustRun("applied", "confirm", "--node", env.address, plan)
	altered := env.write("altered.json", strings.Replace(readTestFile(t, other), `"bob"`, `"eve"`, 1))
	faulty := env.write("faulty.yaml", strings.Replace(classIntent, "headroom: 0.2", "headroom: 2", 1))
	unknown := env.write("unknown.yaml", strings.Replace(classIntent, "headroom", "headrom", 1))
	broken := env.write("broken.yaml", "author: [")
	cases := map[string]struct {
		arguments []string
		status    subcommands.ExitStatus
		message   string
	}{
		"conflict":            {[]string{"confirm", "--node", env.address, other}, 1, "revision 1 by ann"},
		"altered plan":        {[]string{"confirm", "--node", env.address, altered}, 1, "altered"},
		"refused intent":      {[]string{"plan", "--node", env.address, faulty}, 1, "changes[0].set_class.headroom: must be at most 0.9"},
		"unknown field":       {[]string{"plan", "--node", env.address, unknown}, 1, "changes[0].set_class.headrom: is not a known field"},
		"no YAML":             {[]string{"plan", "--node", env.address, broken}, 1, "read YAML"},
		"no argument":         {[]string{"confirm"}, 2, "one argument is needed"},
		"argument too many":   {[]string{"status", "x"}, 2, "no argument is taken"},
		"no such file":        {[]string{"plan", "none.yaml"}, 2, "none.yaml"},
		"unknown flag":        {[]string{"status", "--nope"}, 2, "Flags:"},
		"unknown command":     {[]string{"nope"}, 2, ""},
		"plan not applied":    {[]string{"status", "--node", env.address, "--plan", "other", "--base", "0"}, 1, ""},
		"node not reachable":  {[]string{"status", "--node", "127.0.0.1:1"}, 1, "can't be reached"},
		"outcome not told":    {[]string{"status", "--node", "127.0.0.1:1", "--plan", "p", "--base", "0"}, 3, "can't be reached"},
		"plan without base":   {[]string{"status", "--plan", "p"}, 2, "--base"},
		"request not known":   {[]string{"explain", "--node", env.address, "r"}, 1, "not known here"},
		"confirm unreachable": {[]string{"confirm", "--node", "127.0.0.1:1", other}, 1, "can't be reached"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, output, errorOutput := env.run(test.arguments...)
			if status != test.status || !strings.Contains(errorOutput, test.message) {
				t.Fatalf("status %d, output %q, errors %q", status, output, errorOutput)
			}
		})
	}
}

func TestUnknownOutcomeHasOwnExitStatus(t *testing.T) {
	env := newTestEnvironment(t)
	intent, plan := env.write("intent.yaml", classIntent), env.path("plan.json")
	env.mustRun("plan ", "plan", "--node", env.address, "--out", plan, intent)
	aborting := httptest.NewServer(abortHandler{})
	defer aborting.Close()
	status, _, errorOutput := env.run("confirm", "--node", strings.TrimPrefix(aborting.URL, "http://"), plan)
	if status != exitOutcomeUnknown || !strings.Contains(errorOutput, "banksailctl status --plan ") {
		t.Fatalf("status %d, errors %q", status, errorOutput)
	}
	status, output, _ := env.run("confirm", "--json", "--node", strings.TrimPrefix(aborting.URL, "http://"), plan)
	var problem operator.Problem
	if err := json.Unmarshal([]byte(output), &problem); err != nil || status != exitOutcomeUnknown || problem.OutcomeCommand == "" {
		t.Fatalf("status %d, output %q, %v", status, output, err)
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	env := newTestEnvironment(t)
	for _, name := range []string{"plan", "confirm", "status", "history", "explain", "nodes", "config"} {
		_, output, _ := env.run("help", name)
		if !strings.Contains(output, "Example:") || !strings.Contains(output, "banksailctl "+name) {
			t.Errorf("help of %s: %q", name, output)
		}
	}
}

func readTestFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// abortHandler closes the connection without a response.
type abortHandler struct{}

func (abortHandler) ServeHTTP(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
