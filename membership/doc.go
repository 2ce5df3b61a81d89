// Package membership holds the pure cores that tell which nodes and servers
// are live, suspect, leaving or gone, and who shares out the connections of a
// server.
//
// Nodes is a failure detector and a table of nodes in the manner of SWIM:
// shuffled probes, indirect probes, suspicion with a time-out, refutation by
// incarnation, and updates that ride on probes. Servers merges what several
// sources say of the back-end servers. OwnerShare divides the connection
// limit of a server over the nodes by rendezvous hashing.
//
// Nothing in the package has a goroutine, a clock or I/O: the owner passes the
// time as a duration since an epoch of its choice, carries out the requests
// that the core returns, and reports their results. Equal seeds and equal
// inputs give equal outputs. None of the types is safe for concurrent use; the
// owner holds a lock.
package membership
