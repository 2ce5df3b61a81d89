// Package discovery keeps what a node believes of the servers and of the other
// nodes, from the entries that they keep in a registry.
//
// A View is a state machine without I/O or clock. Its owner feeds it whole
// listings and single changes, each with the registry's revision, and reads
// from it what may be used now. Every belief is as old as the last time at
// which the registry was heard; Age tells how old that is.
package discovery
