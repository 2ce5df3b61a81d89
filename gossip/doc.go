// Package gossip lets nodes watch each other over datagrams, without the registry:
// it drives the failure detector of package membership.
//
// A node learns of others from contacts (the settings' seeds, and what the registry
// holds), compares tables with them, and from then on probes one of them after the
// other. What it finds and hears rides on the probes; a suspicion, its refutation and
// a leaving are told to some others at once.
//
// exchanger is the state machine, without I/O or clock; Agent is its owner.
//
// Datagrams and not HTTP, as the nodes' other calls: a probe goes to another node each
// time, so each would open a connection (docs/design/node-failure.md has the figures).
package gossip
