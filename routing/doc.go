// Package routing is the pure state machine that carries the requests of all
// routes on one node: which server is asked for each part of a request, when a
// second one is asked beside it, when to stop waiting, and what is refused.
//
// Requests of all routes share what is learned of the servers. A route that
// fans out asks one server of each of its shards and gathers the parts with
// package gather; a route to one service is a fan-out of one part.
//
// The machine has no goroutine, clock or I/O. Its owner calls Step with the
// events that happened, serialised by the owner's lock, and carries out the
// actions that Step returns. Times are durations since an epoch that the owner
// picks; they never decrease between calls.
//
// Invariants: a request that may not be repeated is sent again only after a
// server said that it did not execute it, or when no byte of it was written; no
// part of a request is sent to more servers than its route allows; the extra
// sends to a service stay within the node's budget for it; all parts of an
// answer come from the shards of the route that the request arrived with.
package routing
