// Package retry bounds the extra requests that a client makes, and keeps
// requests that must not repeat from running twice.
//
//   - Budget pays for hedges and retries: a share of first sends, by priority
//     class. Whatever happens, extra sends never exceed the shares that were
//     credited plus the burst that the budget started with.
//   - Sketch is a streaming estimate of latency quantiles, and HedgePolicy turns
//     it into the time after which a hedge is worth its price.
//   - Guard remembers request IDs, so that a request that is not repeatable runs
//     at most once within the guard's window.
//
// The package has no I/O, clock or goroutine; the caller passes the time. Its
// types are not safe for concurrent use.
package retry
