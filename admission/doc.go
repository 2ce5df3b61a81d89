// Package admission decides, for a whole query at once, whether it runs now,
// waits in a queue, or is refused with the time after which to come back.
//
// A Queue holds the queries that wait. QueueOrder ranks them: strictly by class,
// by arrival, or by arrival less a boost. A query is refused at once when the
// queue is full, or when the queue drains too slowly for the query to start
// within its class's bound or early enough before its deadline; so no query waits in vain.
//
// Whether there is room to run is the owner's knowledge; it is asked by rank,
// since headroom leaves more urgent classes more room.
//
// The package has no I/O, clock or goroutine; the caller passes the time. Its
// types are not safe for concurrent use.
package admission
