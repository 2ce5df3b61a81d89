// Package routing implements the state machine that executes the requests of all routes on one
// node. It decides which server (replica) receives each part of a request, when to hedge, when to
// stop waiting, and which requests to reject.
//
// Knowledge about servers is shared by all routes. A fan-out route queries one server of each of
// its shards and merges the parts with package gather; a route to a single service is a fan-out
// with one part.
//
// The state machine has no goroutines, clock or I/O. Its owner serializes calls to Step with the
// events that occurred, and carries out the actions that Step returns. Times are durations since
// an epoch chosen by the owner and never decrease between calls.
//
// A route's latency target is Route.LatencyTarget. A server is cold while it warms up after a
// start, and a service is overloaded when its servers have no free capacity.
//
// Invariants: a non-repeatable request is resent only after a server reported that it did not
// execute it, or if no byte of it was written; no part of a request is sent to more servers than
// its route allows; extra sends (hedges and retries) to a service stay within the node's budget
// for it; all parts of an answer come from the shards of the route with which the request arrived.
package routing
