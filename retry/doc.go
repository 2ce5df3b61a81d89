// Package retry limits the retries and hedges that a client sends, and ensures
// that requests that are not idempotent run at most once.
//
//   - Budget is a token budget for hedges and retries. It is credited with a
//     share of first sends per priority class; extra sends never exceed the
//     credited shares plus the initial burst.
//   - Sketch estimates latency quantiles from a stream of samples. A HedgePolicy
//     derives from it the delay after which a hedge is sent.
//   - Deduplicator remembers request IDs, so that a request that is not
//     idempotent runs at most once within a time window.
//
// The package does no I/O, starts no goroutines and reads no clock; the caller
// passes the current time. Its types are not safe for concurrent use.
package retry
