// Package front assembles a node that serves callers directly: the gateway, the node's view of
// servers and other nodes, the directory that directs callers to nodes, and graceful
// shutdown.
package front
