// Package gather carries one query over the key space of a service: it sends a
// sub-request for each segment, takes replies only when attempt, snapshot and
// range match, hedges and retries within what its Environment grants, follows
// repartitions, and gives one final answer with its true coverage.
//
// All replies of an answer come from one snapshot. When nothing can serve the
// pinned one any more, a query may start over whole on another; what it had
// gathered before is dropped.
//
// A query that is not repeatable is sent again only after a reply that says it
// was not executed, or when no byte of it was written; after any other failure
// nothing more of it is sent.
//
// A Query is a state machine without I/O, clock or goroutine. Its owner calls it
// with what happened and the time; the query answers through the Environment
// before the call returns. It is not safe for concurrent use.
package gather
