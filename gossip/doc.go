// Package gossip detects failed nodes over UDP, without the registry. It drives the
// failure detector of package membership.
//
// A node discovers others through contacts (the seeds in its settings and the nodes in
// the registry) and synchronizes its member table with them. From then on it probes the
// other nodes in turn. Updates are piggybacked on the probes; suspicions, refutations
// and planned departures are also announced to a few nodes at once.
//
// exchanger is the state machine, without I/O or a clock. Agent owns it and provides
// both.
//
// The transport is UDP rather than HTTP, which nodes use for their other calls: each
// probe goes to a different node and would need a new connection
// (docs/design/node-failure.md has the figures).
package gossip
