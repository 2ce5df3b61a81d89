package node

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/telemetry"
)

// refusalRetryAfter is told to callers that the node refuses by itself.
const refusalRetryAfter = time.Second

// Query carries a request to its one final answer; it implements caller.Node.
func (n *Node) Query(ctx context.Context, request caller.Request) (caller.Result, error) {
	if n.held.Add(1) > int64(n.options.Settings.Caller.Queries) {
		n.held.Add(-1)
		return n.refusedOverBound(request), nil
	}
	n.metrics.Held.Inc()
	defer func() {
		n.held.Add(-1)
		n.metrics.Held.Dec()
	}()
	current := n.view.Load()
	if current == nil {
		return n.refused(request, dispatch.ReasonNoConfiguration), nil
	}
	shard, err := current.admit(&request)
	switch {
	case err != nil && n.isRepetition(request):
		return unknownRepetition(dispatch.ReasonOutcomeUnknown), nil
	case err != nil:
		return caller.Result{}, err
	case request.Repeatable:
		return n.run(ctx, shard, request), nil
	default:
		return n.runOnce(ctx, shard, request)
	}
}

// admit checks the request against the configuration and finds its shard.
func (v *view) admit(request *caller.Request) (*shard, error) {
	carrier, known := v.shards[request.Service]
	if !known {
		return nil, caller.UnknownServiceError()
	}
	class, known := v.classes[request.Class]
	if !known {
		return nil, caller.UnknownClassError()
	}
	return carrier, takeDeadline(request, class)
}

// isRepetition says that the request ran here before, or runs: it must not be
// told that it did not, whatever else it is refused for.
func (n *Node) isRepetition(request caller.Request) bool {
	if request.Repeatable || !n.once.knows(n.now(), onceKey(request)) {
		return false
	}
	n.metrics.Duplicates.Inc()
	return true
}

// refusedOverBound refuses a request for which the node has no room.
func (n *Node) refusedOverBound(request caller.Request) caller.Result {
	if n.isRepetition(request) {
		return unknownRepetition(dispatch.ReasonOverload)
	}
	return n.refused(request, dispatch.ReasonOverload)
}

// takeDeadline gives the request the class's deadline when it names none.
func takeDeadline(request *caller.Request, class policy.Class) error {
	longest := class.Deadline.Duration()
	if request.Deadline == 0 {
		request.Deadline = longest
	}
	if request.Deadline > longest {
		detail := fmt.Sprintf("must be at most %g for class %s", float64(class.Deadline), class.Name)
		return &caller.FieldError{Field: "deadline_ms", Detail: detail}
	}
	return nil
}

// run hands the request to its shard and waits for the final answer.
func (n *Node) run(ctx context.Context, shard *shard, request caller.Request) caller.Result {
	query := shard.arrive(request)
	var end finished
	select {
	case end = <-query.done:
	case <-ctx.Done():
		shard.abandon(query)
		end = <-query.done
	}
	n.record(request, end)
	return caller.Result{Outcome: end.outcome, KeySpace: query.keySpace}
}

// refused is the answer to a request that reached no shard.
func (n *Node) refused(request caller.Request, reason dispatch.Reason) caller.Result {
	outcome := dispatch.Outcome{
		Execution:  dispatch.ExecutionNotRun,
		Reason:     reason,
		RetryAfter: refusalRetryAfter,
	}
	n.record(request, finished{outcome: outcome})
	return caller.Result{Outcome: outcome}
}

// record tells the log, the metrics and the explanations of a final answer.
func (n *Node) record(request caller.Request, end finished) {
	outcome := end.outcome
	execution := caller.ExecutionName(outcome.Execution)
	n.explanations.Add(telemetry.Explanation{
		RequestID: request.RequestID,
		Node:      n.options.Settings.Node.ID,
		Service:   request.Service,
		Class:     request.Class,
		Execution: execution,
		Reason:    string(outcome.Reason),
		Snapshot:  uint64(outcome.Snapshot),
		Coverage:  outcome.Coverage,
		Steps:     outcome.Explanation,
	})
	n.countOutcome(request, end, execution)
	n.log.WithLevel(logLevel(request, outcome)).
		Str(telemetry.FieldRequestID, request.RequestID).
		Str(telemetry.FieldService, request.Service).
		Str(telemetry.FieldClass, request.Class).
		Str("execution", execution).
		Str("reason", string(outcome.Reason)).
		Float64("coverage", outcome.Coverage).
		Dur("took", end.took).
		Msg("query ended")
}

// logLevel raises what an operator may have to settle by hand: whether a
// not-repeatable request ran.
func logLevel(request caller.Request, outcome dispatch.Outcome) zerolog.Level {
	if !request.Repeatable && outcome.Execution != dispatch.ExecutionDone && outcome.Execution != dispatch.ExecutionNotRun {
		return zerolog.WarnLevel
	}
	return zerolog.DebugLevel
}

// countOutcome counts a query. Names that no configuration has, which callers
// may make up without end, become no labels.
func (n *Node) countOutcome(request caller.Request, end finished, execution string) {
	current := n.view.Load()
	if current == nil {
		return
	}
	_, knownService := current.shards[request.Service]
	_, knownClass := current.classes[request.Class]
	if !knownService || !knownClass {
		return
	}
	reason := string(end.outcome.Reason)
	n.metrics.Queries.WithLabelValues(request.Service, request.Class, execution, reason).Inc()
	n.metrics.Latency.WithLabelValues(request.Service, request.Class).Observe(end.took.Seconds())
	if end.outcome.Execution == dispatch.ExecutionDone {
		n.metrics.Coverage.WithLabelValues(request.Service, request.Class).Observe(end.outcome.Coverage)
	}
}

// Explain finds the explanation of a finished request; it implements caller.Node.
func (n *Node) Explain(requestID string) (telemetry.Explanation, bool) {
	return n.explanations.Find(requestID)
}

// Stopping says that the node is about to stop; it implements caller.Node.
func (n *Node) Stopping() bool { return n.stopping.Load() }
