package gateway

import (
	"net/http"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/resource"
	"github.com/banksail/banksail/routing"
)

// rejection describes why a request is rejected before it is routed.
type rejection struct {
	status int
	reason rejectionReason
	// closes makes the answer close the connection at once, whatever remains of the request.
	closes bool
}

// rejectionReason is the reason of a rejection in logs and metrics.
type rejectionReason string

const (
	reasonHeader      rejectionReason = "header"
	reasonNoRoute     rejectionReason = "no_route"
	reasonBody        rejectionReason = "body"
	reasonBodyTooLong rejectionReason = "body_too_long"
	reasonBodyTimeout rejectionReason = "body_timeout"
	reasonNoMemory    rejectionReason = "no_memory"
)

// discardTimeout bounds the time for which net/http reads on to the end of a rejected request's
// body, so that the connection can be used again.
const discardTimeout = 500 * time.Millisecond

// reject rejects a request that is invalid or cannot be received.
func (g *Gateway) reject(writer http.ResponseWriter, incoming *http.Request, rejected rejection) {
	g.logRejected(incoming, rejected.status, string(rejected.reason))
	if rejected.closes {
		writer.Header().Set("Connection", "close")
	}
	limitDiscard(writer, incoming)
	if rejected.status == http.StatusServiceUnavailable {
		writeRejection(writer, g.memoryRetryAfter())
		return
	}
	writeEmpty(writer, rejected.status)
}

// memoryRetryAfter returns when a caller should retry for which there is no memory: at once if other
// nodes can serve it, else when requests that make no progress may lose theirs.
func (g *Gateway) memoryRetryAfter() time.Duration {
	if g.peersAvailable.Load() {
		return routing.DefaultRedirectRetryAfter
	}
	return resource.DefaultMinStall
}

// rejectUnavailable rejects a request with status 503 because the node does not serve it at present.
func (g *Gateway) rejectUnavailable(writer http.ResponseWriter, incoming *http.Request, reason gather.Reason, retryAfter time.Duration) {
	g.logRejected(incoming, http.StatusServiceUnavailable, string(reason))
	limitDiscard(writer, incoming)
	writeRejection(writer, retryAfter)
}

// limitDiscard sets a deadline for the rest of a rejected request's body. Without one, a caller
// that stops sending holds its connection, and its answer waits.
func limitDiscard(writer http.ResponseWriter, incoming *http.Request) {
	if incoming.Body != http.NoBody {
		setReadDeadline(writer, time.Now().Add(discardTimeout))
	}
}

// setReadDeadline sets the deadline for reading the rest of the request.
func setReadDeadline(writer http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(writer).SetReadDeadline(deadline) // not supported by recorders of tests
}
