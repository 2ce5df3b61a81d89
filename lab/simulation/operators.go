package simulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/policy"
)

// Intervals, timeouts and retries of the operators.
const (
	changeInterval  = 800 * time.Millisecond
	operatorTimeout = 12 * time.Second
	retryPause      = 100 * time.Millisecond
	// maxAttempts limits how often a change is tried and an unknown outcome is
	// queried.
	maxAttempts = 8
)

// operators simulates operators, who change the configuration through any node.
type operators struct {
	system    *System
	transport *http.Transport

	// mutex guards random and changes.
	mutex   sync.Mutex
	random  *rand.Rand
	changes int
}

func newOperators(s *System) (*operators, error) {
	process, err := s.network.Start(operatorIP)
	if err != nil {
		return nil, err
	}
	return &operators{
		system: s, transport: newTransport(process),
		random: rand.New(rand.NewPCG(s.options.Seed, 1<<32)),
	}, nil
}

func (o *operators) close() { o.transport.CloseIdleConnections() }

func (o *operators) client(host *nodeHost) *operator.Client {
	client := operator.NewClient(address(host.ip, operatorPort), operatorTimeout)
	client.SetTransport(o.transport)
	return client
}

// configuration reads the configuration that a node has in force.
func (o *operators) configuration(host *nodeHost) (operator.Configuration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return o.client(host).Configuration(ctx)
}

// bootstrap applies the first configuration, with retries.
func (o *operators) bootstrap(ctx context.Context) {
	config := o.system.layout.config(0)
	for range maxAttempts {
		time.Sleep(retryPause)
		if o.change(ctx, o.system.nodes[0], policy.Change{Replace: &config}) {
			return
		}
	}
}

// run changes a class of the configuration at random intervals until the given
// time.
func (o *operators) run(ctx context.Context, until time.Duration) {
	var changes sync.WaitGroup
	defer changes.Wait()
	for ctx.Err() == nil && o.system.recorder.Now() < until {
		host, change := o.nextChange()
		changes.Go(func() { o.change(ctx, host, change) })
		time.Sleep(o.jitter())
	}
}

func (o *operators) jitter() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return changeInterval/2 + time.Duration(o.random.Int64N(int64(changeInterval)))
}

// nextChange generates a small configuration change and a node to send it to.
func (o *operators) nextChange() (*nodeHost, policy.Change) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.changes++
	class := policy.Class{
		Name: "extra", Order: 10, LongestWait: policy.Milliseconds(100 + o.changes), Deadline: 500,
	}
	return o.system.nodes[o.random.IntN(len(o.system.nodes))], policy.Change{SetClass: &class}
}

// race makes two operators plan from the same base revision and confirm
// concurrently.
func (o *operators) race(ctx context.Context, first, second *nodeHost) {
	var planned, confirmed sync.WaitGroup
	for _, host := range []*nodeHost{first, second} {
		_, change := o.nextChange()
		planned.Add(1)
		confirmed.Go(func() {
			plan, err := o.plan(ctx, host, change)
			planned.Done()
			planned.Wait()
			if err == nil {
				o.confirm(ctx, host, plan)
			}
		})
	}
	confirmed.Wait()
}

// change plans and confirms a change. It reports whether the change is known to
// be applied.
func (o *operators) change(ctx context.Context, host *nodeHost, change policy.Change) bool {
	plan, err := o.plan(ctx, host, change)
	if err != nil {
		return false
	}
	return o.confirm(ctx, host, plan) == history.ConfirmationApplied
}

func (o *operators) plan(ctx context.Context, host *nodeHost, change policy.Change) (policy.Plan, error) {
	return o.client(host).Plan(ctx, policy.Intent{Author: "operator", Changes: []policy.Change{change}})
}

// confirm confirms a plan and, while its outcome is unknown, queries the
// outcome.
func (o *operators) confirm(ctx context.Context, host *nodeHost, plan policy.Plan) history.ConfirmationResult {
	receipt, err := o.client(host).Confirm(ctx, plan)
	result, revision := confirmationResult(receipt, err)
	o.recordConfirmation(host, plan, result, revision)
	for try := 0; result == history.ConfirmationUnknown && try < maxAttempts; try++ {
		time.Sleep(time.Second)
		receipt, err := o.client(host).Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil {
			continue
		}
		result, revision = confirmationResult(receipt, nil)
		o.recordConfirmation(host, plan, result, revision)
	}
	return result
}

func (o *operators) recordConfirmation(host *nodeHost, plan policy.Plan, result history.ConfirmationResult, revision policy.Revision) {
	at := o.system.recorder.Now()
	o.system.recorder.Update(func(h *history.History) {
		h.Confirmations = append(h.Confirmations, history.Confirmation{
			Operator: "operator at " + host.name, PlanID: plan.ID, Result: result, Revision: uint64(revision), At: at,
		})
	})
}

// confirmationResult converts a node's response to a confirmation or outcome
// query.
func confirmationResult(receipt policy.Receipt, err error) (history.ConfirmationResult, policy.Revision) {
	var problem *operator.ProblemError
	switch {
	case errors.As(err, &problem) && problem.Problem.Conflict != nil:
		return history.ConfirmationConflict, 0
	case errors.As(err, &problem) && problem.Problem.Receipt != nil:
		receipt = *problem.Problem.Receipt
	case errors.Is(err, operator.ErrUnreachable):
		return history.ConfirmationFailed, 0
	case err != nil:
		return history.ConfirmationUnknown, 0
	}
	switch receipt.Outcome {
	case policy.OutcomeApplied:
		return history.ConfirmationApplied, receipt.Revision
	case policy.OutcomeNotApplied:
		return history.ConfirmationFailed, 0
	default:
		return history.ConfirmationUnknown, 0
	}
}

// repartition moves the bounds between the groups of the search service.
func (o *operators) repartition(ctx context.Context, host *nodeHost, shift uint64) error {
	service := o.system.layout.searchConfig(shift)
	for range maxAttempts {
		if o.change(ctx, host, policy.Change{SetService: &service}) {
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("simulation: repartition by %d keys was not applied", shift)
}
