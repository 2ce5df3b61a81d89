// Package membership tracks which nodes and servers are live, suspect, leaving or gone,
// and divides the connection limits of servers among the nodes.
//
// Nodes is a failure detector and member table based on SWIM: probes in shuffled
// rounds, indirect probes, suspicion with a timeout, refutation by incarnation, and
// updates piggybacked on probes. Servers merges reports on back-end servers from
// several sources. OwnerShare divides a server's connection limit among the nodes by
// rendezvous hashing.
//
// Nothing in the package uses goroutines, a clock or I/O. The owner passes the time as
// a duration since an epoch of its choice, sends the requests that the state machine
// returns, and reports their results. Equal seeds and inputs give equal outputs. No
// type is safe for concurrent use; the owner must hold a lock.
package membership
