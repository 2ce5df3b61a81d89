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

// sampledShare is one in how many good requests are logged: the same ones on
// every node, by their ID.
const sampledShare = 64

// sampled reports whether a good request is logged.
func sampled(id string) bool { return xxhash.Sum64String(id)%sampledShare == 0 }

// logRequest tells of a final answer: always of one that is not whole and in
// time, and of a sample of the others.
func (g *Gateway) logRequest(asked *pendingRequest, table *route.Table, outcome routing.Outcome) {
	took := time.Since(asked.arrived)
	result := g.resultOf(asked, outcome, took)
	g.counters.answered(asked.route, result, took)
	if result == resultGood && !sampled(asked.outgoing.AttemptID) {
		return
	}
	line := g.options.Logger.Info()
	if line == nil {
		return
	}
	if lostServers(outcome.Attempts) > 0 || outcome.Reason == gather.ReasonCrashesServers {
		line.Stringer("content", contentOf(asked.outgoing)).Str("caller", asked.caller)
	}
	line.Str(telemetry.FieldRequestID, asked.outgoing.AttemptID).Str("route", asked.route.Name).
		Str("result", string(result)).Str("reason", string(outcome.Reason)).
		Uint64("version", table.Version).Dur("belief_age_ms", g.beliefAge()).
		Int("missing", outcome.Missing).
		Int("sends", outcome.Sends).Int("hedges", outcome.Hedges).Int("retries", outcome.Retries).
		Int("unaffordable", outcome.HedgesOverBudget).Int("roomless", outcome.SendsWithoutCapacity).Int("hopeless", outcome.HedgesTooLate).
		Dur("took_ms", took).Dur("retry_after_ms", outcome.RetryAfter).
		Array("attempts", attemptList(outcome.Attempts)).
		Msg("request answered")
}

// lostServers counts the attempts whose servers ended, or broke the connection off.
func lostServers(attempts []routing.AttemptRecord) (count int) {
	for _, one := range attempts {
		if one.Result == serverEnded || one.Result == connectionLost {
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

func (g *Gateway) resultOf(asked *pendingRequest, outcome routing.Outcome, took time.Duration) result {
	switch {
	case outcome.Execution == gather.ExecutionNotRun:
		return resultRefused
	case outcome.Execution != gather.ExecutionDone:
		return resultFailed
	case asked.route.Aim > 0 && took > asked.route.Aim:
		return resultLate
	case outcome.Missing > 0:
		return resultPartial
	default:
		return resultGood
	}
}

// beliefAge is how old what the node believes of the servers is.
func (g *Gateway) beliefAge() time.Duration {
	if g.options.ViewAge == nil {
		return 0
	}
	return g.options.ViewAge()
}

// mostAttemptsLogged bounds the attempts in one line: those that did not end
// well, the extra ones first.
const mostAttemptsLogged = 24

// attemptList logs the attempts that tell something: extra ones, those that did
// not answer, and those that took long.
type attemptList []routing.AttemptRecord

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attemptList) MarshalZerologArray(array *zerolog.Array) {
	logged := 0
	for _, one := range l {
		if logged == mostAttemptsLogged {
			return
		}
		if one.Kind == gather.FirstSend && one.Result == "answered" && len(l) > 1 {
			continue
		}
		array.Object(attemptLine(one))
		logged++
	}
}

type attemptLine routing.AttemptRecord

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLine) MarshalZerologObject(line *zerolog.Event) {
	end := a.Result
	if end == "" {
		end = "awaited"
	}
	line.Str("kind", kindName(a.Kind)).Str("service", a.Service).Str("server", a.Server).
		Dur("sent_ms", a.SentAt).Dur("ended_ms", a.EndedAt).Str("end", end).
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
