// Package front assembles a node that callers reach directly: a gateway, what
// it believes of the servers and of the other nodes, the directory's decisions,
// and planned stops.
package front
