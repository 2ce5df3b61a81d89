package front

import (
	"context"
	"net/http"
	"time"
)

const (
	// drainDelay is how long a leaving node goes on taking requests, while callers
	// that ask anew are sent elsewhere. What it takes later it might have to cut.
	drainDelay = 2900 * time.Millisecond
	// stopMargin is kept at the end of the grace: for the final answers of what is
	// at hand then, and for the process's own end.
	stopMargin = 800 * time.Millisecond
	// flushTimeout is how long those answers have.
	flushTimeout = 250 * time.Millisecond
)

// stop ends the node as planned: it is no longer ready, the directory leaves it
// out, and kept connections end with their next answer. After a while it takes no
// more requests; what is at hand then has until near the end of the grace, when
// it gets its final answer. The process goes as soon as nothing is pending.
func (f *Front) stop(callers *http.Server) {
	startedAt := time.Now()
	grace := time.Duration(f.gracePeriod.Load())
	f.options.Logger.Info().Dur("grace_ms", grace).Msg("stopping")
	f.leaving.Store(true)
	f.agent.Leave()
	f.gateway.Drain()
	time.Sleep(min(drainDelay, grace/2))
	f.gateway.RejectRequests()
	if shutdown(callers, time.Until(startedAt.Add(grace-stopMargin))) {
		return
	}
	f.options.Logger.Warn().Int("pending", f.gateway.PendingCount()).Msg("grace is over, what is at hand is given up")
	f.gateway.AbortPending()
	shutdown(callers, flushTimeout)
}

// shutdown stops to listen, closes the connections that rest, and waits for the
// others; it reports whether all have ended in time.
func shutdown(server *http.Server, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return server.Shutdown(ctx) == nil
}
