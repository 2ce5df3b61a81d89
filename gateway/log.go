package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
	"github.com/banksail/banksail/telemetry"
)

// sampleInterval is one in how many good requests are logged: the same ones on
// every node, by their ID.
const sampleInterval = 64

// isSampled reports whether a good request is logged.
func isSampled(id string) bool { return xxhash.Sum64String(id)%sampleInterval == 0 }

// logRequest tells of a final answer: always of one that is not whole and in
// time, and of a sample of the others.
func (g *Gateway) logRequest(request *pendingRequest, table *route.Table, outcome routing.Outcome) {
	elapsed := time.Since(request.arrived)
	result := g.classifyOutcome(request, outcome, elapsed)
	g.counters.countRequest(request.route, result, elapsed)
	if result == resultGood && !isSampled(request.outgoing.AttemptID) {
		return
	}
	line := g.options.Logger.Info()
	if line == nil {
		return
	}
	if countLostServers(outcome.Attempts) > 0 || outcome.Reason == gather.ReasonCrashesServers {
		line.Stringer("content", fingerprintOf(request.outgoing)).Str("caller", request.callerAddress)
	}
	line.Str(telemetry.FieldRequestID, request.outgoing.AttemptID).Str("route", request.route.Name).
		Str("result", string(result)).Str("reason", string(outcome.Reason)).
		Uint64("version", table.Version).Dur("belief_age_ms", g.viewAge()).
		Int("missing", outcome.Missing).
		Int("sends", outcome.Sends).Int("hedges", outcome.Hedges).Int("retries", outcome.Retries).
		Int("unaffordable", outcome.HedgesOverBudget).Int("roomless", outcome.SendsWithoutCapacity).Int("hopeless", outcome.HedgesTooLate).
		Dur("took_ms", elapsed).Dur("retry_after_ms", outcome.RetryAfter).
		Array("attempts", attemptList(outcome.Attempts)).
		Msg("request answered")
}

// countLostServers counts the attempts whose servers ended, or broke the connection off.
func countLostServers(attempts []routing.AttemptRecord) (count int) {
	for _, attempt := range attempts {
		if attempt.Result == reasonServerCrashed || attempt.Result == reasonConnectionLost {
			count++
		}
	}
	return count
}

// result is how a request ended, as it is logged and counted.
type result string

const (
	resultGood    result = "good"
	resultLate    result = "late"
	resultPartial result = "partial"
	resultRefused result = "refused"
	resultFailed  result = "failed"
)

func (g *Gateway) classifyOutcome(request *pendingRequest, outcome routing.Outcome, elapsed time.Duration) result {
	switch {
	case outcome.Execution == gather.ExecutionNotRun:
		return resultRefused
	case outcome.Execution != gather.ExecutionDone:
		return resultFailed
	case request.route.Aim > 0 && elapsed > request.route.Aim:
		return resultLate
	case outcome.Missing > 0:
		return resultPartial
	default:
		return resultGood
	}
}

// viewAge is how old what the node believes of the servers is.
func (g *Gateway) viewAge() time.Duration {
	if g.options.ViewAge == nil {
		return 0
	}
	return g.options.ViewAge()
}

// maxLoggedAttempts bounds the attempts in one line: those that did not end
// well, the extra ones first.
const maxLoggedAttempts = 24

// attemptList logs the attempts that tell something: extra ones, those that did
// not answer, and those that took long.
type attemptList []routing.AttemptRecord

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attemptList) MarshalZerologArray(array *zerolog.Array) {
	logged := 0
	for _, attempt := range l {
		if logged == maxLoggedAttempts {
			return
		}
		if attempt.Kind == gather.FirstSend && attempt.Result == "answered" && len(l) > 1 {
			continue
		}
		array.Object(attemptLine(attempt))
		logged++
	}
}

type attemptLine routing.AttemptRecord

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLine) MarshalZerologObject(line *zerolog.Event) {
	attemptResult := a.Result
	if attemptResult == "" {
		attemptResult = "awaited"
	}
	line.Str("kind", kindName(a.Kind)).Str("service", a.Service).Str("server", a.Server).
		Dur("sent_ms", a.SentAt).Dur("ended_ms", a.EndedAt).Str("end", attemptResult).
		Float64("slowness", math.Round(a.Estimate.Slowness*100)/100).Int("in_flight", a.Estimate.InFlight)
}

func kindName(kind gather.SendKind) string {
	switch kind {
	case gather.HedgeSend:
		return "hedge"
	case gather.RetrySend:
		return "retry"
	default:
		return "first"
	}
}

// logRejected tells of a request that reached no route.
func (g *Gateway) logRejected(incoming *http.Request, status int, reason string) {
	g.counters.rejected.Add(1)
	g.options.Logger.Info().
		Str(telemetry.FieldRequestID, incoming.Header.Get(g.options.Headers.AttemptID)).
		Int("status", status).Str("reason", reason).Msg("request rejected")
}
