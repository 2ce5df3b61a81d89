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

// rejectionRetryAfter is the Retry-After value for requests that the node
// itself rejects.
const rejectionRetryAfter = time.Second

// Query runs a request and returns its one final result; it implements
// caller.Node.
func (n *Node) Query(ctx context.Context, request caller.Request) (caller.Result, error) {
	if n.heldQueries.Add(1) > int64(n.options.Settings.Caller.Queries) {
		n.heldQueries.Add(-1)
		return n.rejectOverload(request), nil
	}
	n.metrics.HeldQueries.Inc()
	defer func() {
		n.heldQueries.Add(-1)
		n.metrics.HeldQueries.Dec()
	}()
	current := n.activeConfig.Load()
	if current == nil {
		return n.reject(request, dispatch.ReasonNoConfiguration), nil
	}
	shard, err := current.admit(&request)
	switch {
	case err != nil && n.isDuplicate(request):
		return unknownDuplicateResult(dispatch.ReasonOutcomeUnknown), nil
	case err != nil:
		return caller.Result{}, err
	case request.Repeatable:
		return n.run(ctx, shard, request), nil
	default:
		return n.runAtMostOnce(ctx, shard, request)
	}
}

// admit validates the request against the configuration and returns the shard
// of its service.
func (c *activeConfig) admit(request *caller.Request) (*shard, error) {
	serviceShard, known := c.shards[request.Service]
	if !known {
		return nil, caller.NewUnknownServiceError()
	}
	class, known := c.classes[request.Class]
	if !known {
		return nil, caller.NewUnknownClassError()
	}
	return serviceShard, applyDeadline(request, class)
}

// isDuplicate reports whether the request is running or has run on this node.
// Such a request must not be answered with "not run", whatever the reason for
// rejecting it now.
func (n *Node) isDuplicate(request caller.Request) bool {
	if request.Repeatable || !n.requestDeduplicator.contains(n.now(), requestKey(request)) {
		return false
	}
	n.metrics.Duplicates.Inc()
	return true
}

// rejectOverload rejects a request that exceeds the limit of concurrent
// queries.
func (n *Node) rejectOverload(request caller.Request) caller.Result {
	if n.isDuplicate(request) {
		return unknownDuplicateResult(dispatch.ReasonOverload)
	}
	return n.reject(request, dispatch.ReasonOverload)
}

// applyDeadline sets a missing deadline to that of the class and returns an
// error for one that is longer.
func applyDeadline(request *caller.Request, class policy.Class) error {
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

// run submits the request to its shard and waits for the final outcome.
func (n *Node) run(ctx context.Context, shard *shard, request caller.Request) caller.Result {
	query := shard.submit(request)
	var result queryResult
	select {
	case result = <-query.done:
	case <-ctx.Done():
		shard.cancelQuery(query)
		result = <-query.done
	}
	n.recordOutcome(request, result)
	return caller.Result{Outcome: result.outcome, KeySpace: query.keySpace}
}

// reject returns the result for a request that was not passed to a shard.
func (n *Node) reject(request caller.Request, reason dispatch.Reason) caller.Result {
	outcome := dispatch.Outcome{
		Execution:  dispatch.ExecutionNotRun,
		Reason:     reason,
		RetryAfter: rejectionRetryAfter,
	}
	n.recordOutcome(request, queryResult{outcome: outcome})
	return caller.Result{Outcome: outcome}
}

// recordOutcome adds a final outcome to the log, the metrics and the
// explanations.
func (n *Node) recordOutcome(request caller.Request, result queryResult) {
	outcome := result.outcome
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
	n.countOutcome(request, result, execution)
	n.log.WithLevel(logLevel(request, outcome)).
		Str(telemetry.FieldRequestID, request.RequestID).
		Str(telemetry.FieldService, request.Service).
		Str(telemetry.FieldClass, request.Class).
		Str("execution", execution).
		Str("reason", string(outcome.Reason)).
		Float64("coverage", outcome.Coverage).
		Dur("took", result.duration).
		Msg("query finished")
}

// logLevel returns warn if it is uncertain whether a non-repeatable request
// ran, because an operator may have to resolve that manually.
func logLevel(request caller.Request, outcome dispatch.Outcome) zerolog.Level {
	if !request.Repeatable && outcome.Execution != dispatch.ExecutionDone && outcome.Execution != dispatch.ExecutionNotRun {
		return zerolog.WarnLevel
	}
	return zerolog.DebugLevel
}

// countOutcome counts a query. Service and class names that are not configured
// are skipped: callers can invent any number of them, and each would add a
// label value.
func (n *Node) countOutcome(request caller.Request, result queryResult, execution string) {
	current := n.activeConfig.Load()
	if current == nil {
		return
	}
	_, knownService := current.shards[request.Service]
	_, knownClass := current.classes[request.Class]
	if !knownService || !knownClass {
		return
	}
	reason := string(result.outcome.Reason)
	n.metrics.Queries.WithLabelValues(request.Service, request.Class, execution, reason).Inc()
	n.metrics.Latency.WithLabelValues(request.Service, request.Class).Observe(result.duration.Seconds())
	if result.outcome.Execution == dispatch.ExecutionDone {
		n.metrics.Coverage.WithLabelValues(request.Service, request.Class).Observe(result.outcome.Coverage)
	}
}

// FindExplanation returns the explanation of a finished request; it implements
// caller.Node.
func (n *Node) FindExplanation(requestID string) (telemetry.Explanation, bool) {
	return n.explanations.Find(requestID)
}

// IsStopping reports whether the node is stopping; it implements caller.Node.
func (n *Node) IsStopping() bool { return n.stopping.Load() }
