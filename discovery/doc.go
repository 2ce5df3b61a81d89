// Package discovery maintains a node's view of the servers and of the other nodes, based
// on the entries that they keep in a registry.
//
// A View is a state machine without I/O and without a clock. Its owner feeds it complete
// listings and single changes, each with the registry's revision, and reads from it what
// may be used at present. The information in a View is as old as its last sync with the
// registry; Age returns that time span.
package discovery
