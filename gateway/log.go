package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// counters count what a gateway did since its start.
type counters struct {
	first, hedges, retries  atomic.Uint64
	done, partial           atomic.Uint64
	refused, failed, errors atomic.Uint64
}

func (c *counters) sent(kind gather.SendKind) {
	switch kind {
	case gather.HedgeSend:
		c.hedges.Add(1)
	case gather.RetrySend:
		c.retries.Add(1)
	default:
		c.first.Add(1)
	}
}

// logAttempt tells of an attempt that did not end well.
func (g *Gateway) logAttempt(asked *pendingRequest, action routing.Send, reply *exchange.Reply, err error, took time.Duration) {
	if err == nil && reply.Status < http.StatusMultipleChoices {
		return
	}
	line := g.options.Logger.Debug()
	if line == nil {
		return
	}
	line.Str("request_id", asked.outgoing.AttemptID).
		Str("server", action.Server.ID).Str("service", action.Server.Service).Str("address", action.Server.Address).
		Int("kind", int(action.Kind)).Float64("slowness", action.Believed.Slowness).Dur("took_ms", took)
	if err != nil {
		line.Err(err).Msg("attempt failed")
		return
	}
	line.Int("status", reply.Status).Msg("attempt failed")
}

// logRequest tells of a final answer: of every one that is not whole and in
// time, and of the others at debug level.
func (g *Gateway) logRequest(asked *pendingRequest, table *route.Table, outcome routing.Outcome) {
	took := time.Since(asked.arrived)
	level := zerolog.DebugLevel
	switch {
	case outcome.Execution == gather.ExecutionNotRun:
		g.counters.refused.Add(1)
		level = zerolog.InfoLevel
	case outcome.Execution != gather.ExecutionDone:
		g.counters.failed.Add(1)
		level = zerolog.InfoLevel
	case outcome.Missing > 0:
		g.counters.partial.Add(1)
		level = zerolog.InfoLevel
	case asked.route.Aim > 0 && took > asked.route.Aim:
		g.counters.done.Add(1)
		level = zerolog.InfoLevel
	default:
		g.counters.done.Add(1)
	}
	line := g.options.Logger.WithLevel(level)
	if line == nil || level < g.options.Logger.GetLevel() {
		return
	}
	line.Str("request_id", asked.outgoing.AttemptID).Str("route", asked.route.Name).
		Uint64("version", table.Version).Int("execution", int(outcome.Execution)).
		Str("reason", string(outcome.Reason)).Int("missing", outcome.Missing).
		Int("sends", outcome.Sends).Int("hedges", outcome.Hedges).Int("retries", outcome.Retries).
		Int("unaffordable", outcome.Unaffordable).Int("roomless", outcome.Roomless).Int("hopeless", outcome.Hopeless).
		Dur("took_ms", took).Dur("retry_after_ms", outcome.RetryAfter).Msg("request answered")
}

// logRejected tells of a request that reached no route.
func (g *Gateway) logRejected(incoming *http.Request, status int, reason string) {
	g.counters.errors.Add(1)
	g.options.Logger.Info().
		Str("request_id", incoming.Header.Get(g.options.Headers.AttemptID)).
		Int("status", status).Str("reason", reason).Msg("request rejected")
}
