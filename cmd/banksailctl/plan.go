package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/google/subcommands"

	"github.com/banksail/banksail/policy"
)

// maxDifferenceLength is the maximum number of bytes printed of one difference. The plan document
// contains the full difference.
const maxDifferenceLength = 160

// planCommand implements "plan", which asks a node what an intent would change and writes the plan
// document.
type planCommand struct {
	baseCommand
	outputPath string
	author     string
}

func (*planCommand) Name() string { return "plan" }
func (*planCommand) Synopsis() string {
	return "work out what an intent would change; nothing takes effect"
}
func (*planCommand) Usage() string {
	return `banksailctl plan [flags] INTENT-FILE

Reads an intent (YAML or JSON), prints what it would change and what to beware
of, and writes the plan document for "banksailctl confirm". Nothing takes
effect. Exit status: 0 planned, 1 refused, 2 usage.

Example:
  cat > intent.yaml <<END
  author: ann
  note: shorter waits before the morning
  changes:
    - set_class: {name: urgent, order: 0, longest_wait_ms: 20, deadline_ms: 100,
                  minimum_coverage: 0.9, hedge_share: 0.05, headroom: 0.2}
  END
  banksailctl plan --out plan.json intent.yaml

Flags:
`
}

func (p *planCommand) SetFlags(flags *flag.FlagSet) {
	p.baseCommand.SetFlags(flags)
	flags.StringVar(&p.outputPath, "out", "plan.json", "file that the plan document is written to")
	flags.StringVar(&p.author, "author", "", "operator's name; replaces the intent's (default $USER when the intent names none)")
}

func (p *planCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := requireOneArgument(flags)
	if err != nil {
		return p.usageError("%v: the intent file", err)
	}
	data, err := readFile(path, policy.MaximumIntentBytes)
	if err != nil {
		return p.usageError("%v", err)
	}
	intent, err := decodeIntent(data)
	if err != nil {
		return p.reportInvalidDocument(path, err)
	}
	p.setAuthor(&intent)
	plan, err := p.client().Plan(ctx, intent)
	if err != nil {
		return p.reportFailure(err)
	}
	if err := writePlan(p.outputPath, plan); err != nil {
		p.printError("%v", err)
		return subcommands.ExitFailure
	}
	if p.printsJSON {
		return p.printJSON(plan)
	}
	p.printPlan(plan)
	return subcommands.ExitSuccess
}

// setAuthor sets the intent's author from the flag --author, or from $USER if neither the flag nor
// the intent names one.
func (p *planCommand) setAuthor(intent *policy.Intent) {
	switch {
	case p.author != "":
		intent.Author = p.author
	case intent.Author == "":
		intent.Author = os.Getenv("USER")
	}
}

func (p *planCommand) printPlan(plan policy.Plan) {
	p.print("plan %s on revision %d\n", plan.ID, plan.BaseRevision)
	if len(plan.Differences) == 0 {
		p.print("  (no difference)\n")
	}
	for _, difference := range plan.Differences {
		p.print("  %s\n", difference.Abbreviate(maxDifferenceLength))
	}
	for _, warning := range plan.Warnings {
		p.print("warning: %s: %s\n", warning.Field, warning.Message)
	}
	p.print("written to %s; put it into effect with: banksailctl confirm %s\n", p.outputPath, p.outputPath)
}

// decodeIntent decodes an intent from JSON, if the data starts with "{", or from YAML.
func decodeIntent(data []byte) (policy.Intent, error) {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return policy.DecodeIntent(data)
	}
	converted, err := yaml.YAMLToJSON(data)
	if err != nil {
		return policy.Intent{}, fmt.Errorf("read YAML: %w", err)
	}
	return policy.DecodeIntent(converted)
}

// writePlan writes the plan document to a file that only its owner can access.
func writePlan(path string, plan policy.Plan) error {
	encoded, err := policy.EncodePlan(plan)
	if err != nil {
		return err
	}
	return os.WriteFile(path, encoded, 0o600)
}

// readFile reads a file, or the standard input if path is "-". It returns an error if there are
// more than limit bytes.
func readFile(path string, limit int64) ([]byte, error) {
	source := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("input is larger than %d bytes", limit)
	}
	return data, nil
}
