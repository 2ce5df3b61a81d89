// Package gather runs a single query over the key space of a service. It sends a sub-request
// for each segment, accepts a reply only if its attempt, snapshot and range match, hedges and
// retries within the budget of its Environment, follows repartitions, and produces one final
// outcome with the coverage that was actually reached.
//
// All replies in an outcome come from the same snapshot. If no server can serve the pinned
// snapshot any more, the query may restart on another one; answers gathered before are
// discarded.
//
// A query that is not repeatable is retried only after a reply that says that it was not
// executed, or if no byte of the sub-request was written. After any other failure, nothing more
// of it is sent.
//
// Query is a state machine without I/O, clock or goroutines. Its owner calls it with each event
// and the current time; the query acts through the Environment before the call returns. A Query
// is not safe for concurrent use.
package gather
