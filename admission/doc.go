// Package admission decides, once for a whole query, whether it runs immediately,
// waits in a queue, or is refused with a retry-after time.
//
// A Queue holds the waiting queries. A QueueOrder ranks them: strictly by class,
// by arrival, or by arrival minus a boost. A query is refused immediately if the
// queue is full, or if the queue drains too slowly for the query to start within
// the maximum wait of its class or early enough before its deadline. This way no
// query waits only to fail.
//
// The owner knows whether there is capacity to run. It is asked per class rank,
// because headroom leaves more capacity to more urgent classes.
//
// The package does no I/O, starts no goroutines and reads no clock; the caller
// passes the current time. Its types are not safe for concurrent use.
package admission
