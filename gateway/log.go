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

// sampleInterval is the sampling rate of requests with a good result: one in 64 is logged. The
// sample depends only on the request's ID, so that all nodes log the same requests.
const sampleInterval = 64

// isSampled reports whether a request with a good result is logged.
func isSampled(id string) bool { return xxhash.Sum64String(id)%sampleInterval == 0 }

// logRequest counts a final answer and logs it. Rejections, failures and answers that are late
// or incomplete are always logged, others are sampled.
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

// countLostServers counts the attempts whose server crashed or lost the connection.
func countLostServers(attempts []routing.AttemptRecord) (count int) {
	for _, attempt := range attempts {
		if attempt.Result == reasonServerCrashed || attempt.Result == reasonConnectionLost {
			count++
		}
	}
	return count
}

// result is the result of a request in logs and metrics.
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
	case request.route.LatencyTarget > 0 && elapsed > request.route.LatencyTarget:
		return resultLate
	case outcome.Missing > 0:
		return resultPartial
	default:
		return resultGood
	}
}

// viewAge returns the age of the node's view of the servers; zero if unknown.
func (g *Gateway) viewAge() time.Duration {
	if g.options.ViewAge == nil {
		return 0
	}
	return g.options.ViewAge()
}

// maxLoggedAttempts bounds the number of attempts in one log line.
const maxLoggedAttempts = 24

// attemptList logs the attempts of a request. If there are several, first sends that were answered
// are omitted.
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

// logRejected counts and logs a request that was rejected before it was routed.
func (g *Gateway) logRejected(incoming *http.Request, status int, reason string) {
	g.counters.rejected.WithLabelValues(reason).Inc()
	g.options.Logger.Info().
		Str(telemetry.FieldRequestID, incoming.Header.Get(g.options.Headers.AttemptID)).
		Int("status", status).Str("reason", reason).Msg("request rejected")
}
