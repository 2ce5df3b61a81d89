package front

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainDelay is how long a draining node continues to accept requests, while new look-ups send
	// callers elsewhere. Requests accepted later might have to be aborted.
	drainDelay = 2900 * time.Millisecond
	// stopMargin is reserved at the end of the grace period, for the final answers of requests that
	// are still pending and for the exit of the process.
	stopMargin = 800 * time.Millisecond
	// exitMargin is reserved for the exit of the process. Until then answers are written that callers
	// read slowly: one that is cut off is lost.
	exitMargin = 250 * time.Millisecond
)

// stop shuts the node down gracefully. It is no longer ready, the directory leaves it out, and
// persistent connections end with their next answer. Requests that would outlast the grace period are
// rejected at once, and after drainDelay, or half the grace period if that is shorter, all new ones are.
// Requests that are still pending near the end of the grace period get their final answer then. It
// returns as soon as no request is pending.
func (f *Front) stop(callers *http.Server) {
	startedAt := time.Now()
	grace := time.Duration(f.gracePeriod.Load())
	f.options.Logger.Info().Dur("grace_ms", grace).Msg("stopping")
	f.leaving.Store(true)
	f.agent.Leave()
	f.gateway.Drain(grace - stopMargin)
	time.Sleep(min(drainDelay, grace/2))
	f.gateway.RejectRequests()
	if shutdown(callers, time.Until(startedAt.Add(grace-stopMargin))) {
		return
	}
	f.options.Logger.Warn().Int("pending", f.gateway.PendingCount()).Msg("grace is over, what is at hand is given up")
	f.gateway.AbortPending()
	shutdown(callers, time.Until(startedAt.Add(grace-exitMargin)))
}

// shutdown stops listening, closes idle connections and waits for the others. It reports whether
// all of them ended within the timeout.
func shutdown(server *http.Server, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return server.Shutdown(ctx) == nil
}
