package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/internal/strictjson"
	"github.com/banksail/banksail/lab/history"
)

const (
	readyPath      = "/readyz"
	observeTimeout = time.Second
	maxReadyBytes  = 4096
)

// Errors of the subcommand observe.
var (
	errInvalidNodeAddress = errors.New("--node must be ID=IP:PORT")
	errNoNodes            = errors.New("no node given: use --node")
)

// revisionPattern matches the readiness response of a ready node, with its revision in force.
var revisionPattern = regexp.MustCompile(`^ready at revision (\d+)\n?$`)

// observeCommand polls nodes for their revision in force and writes it to a journal.
type observeCommand struct {
	nodes      stringList
	interval   time.Duration
	outputPath string
}

// Name implements subcommands.Command.
func (*observeCommand) Name() string { return "observe" }

// Synopsis implements subcommands.Command.
func (*observeCommand) Synopsis() string { return "record which revision nodes have in force" }

// Usage implements subcommands.Command.
func (*observeCommand) Usage() string {
	return `observe [flags]:
  Read again and again, until a signal, which revision each node has in force,
  from its operator address, and write what was read to a journal for the
  subcommand judge. A node that does not answer is passed over.

  Example: banksail-lab observe --node n1=127.0.0.1:20102 --node n2=127.0.0.1:20202 --out revisions.jsonl

`
}

// SetFlags implements subcommands.Command.
func (c *observeCommand) SetFlags(flags *flag.FlagSet) {
	flags.Var(&c.nodes, "node", "a node as ID=IP:PORT with its operator address; may be given several times")
	flags.DurationVar(&c.interval, "interval", 100*time.Millisecond, "time between two reads of a node")
	flags.StringVar(&c.outputPath, "out", "revisions.jsonl", "journal to write")
}

// Execute implements subcommands.Command.
func (c *observeCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := requireNoArguments(flags); err != nil {
		return exitStatus(err)
	}
	return exitStatus(c.run(ctx))
}

func (c *observeCommand) run(ctx context.Context) error {
	if len(c.nodes) == 0 {
		return errNoNodes
	}
	client := &http.Client{Timeout: observeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return withJournal(c.outputPath, func(journal *history.Journal) error {
		var observers sync.WaitGroup
		defer observers.Wait()
		for _, text := range c.nodes {
			id, address, ok := strings.Cut(text, "=")
			if _, _, err := net.SplitHostPort(address); !ok || id == "" || err != nil {
				return fmt.Errorf("%w: %q", errInvalidNodeAddress, text)
			}
			observed := observer{id: id, address: address, client: client, journal: journal}
			observers.Go(func() { observed.run(ctx, c.interval) })
		}
		return nil
	})
}

// observer polls one node.
type observer struct {
	id, address string
	client      *http.Client
	journal     *history.Journal
}

// run polls the node at the given interval until ctx is done. Failed polls are ignored.
func (o observer) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if revision, ok := o.readRevision(ctx); ok {
			o.journal.Write(history.Entry{InForce: &history.InForce{Node: o.id, Revision: revision, At: o.journal.Now()}})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readRevision returns the node's revision in force, or false if the node did not respond or is not
// ready.
func (o observer) readRevision(ctx context.Context) (uint64, bool) {
	target := url.URL{Scheme: "http", Host: o.address, Path: readyPath}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return 0, false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := strictjson.Read(response.Body, maxReadyBytes)
	if err != nil {
		return 0, false
	}
	found := revisionPattern.FindSubmatch(text)
	if found == nil {
		return 0, false
	}
	revision, err := strconv.ParseUint(string(found[1]), 10, 64)
	return revision, err == nil
}
