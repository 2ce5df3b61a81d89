// Package dispatch implements the state machine that runs the queries of one service on one
// node: admission, replica selection, hedging, collection of replies and the final outcome.
//
// A Dispatcher has no goroutines, clock or I/O. Its owner calls Step with each event,
// serialized by the owner's lock, and carries out the returned actions. The daemon, the
// simulation, the experiments and replay all drive the same state machine: the same events,
// times and seed produce the same actions, byte for byte.
//
// Times are durations since an epoch chosen by the owner; they never decrease between calls.
//
// The package is built on admission, gather, limit, retry and snapshot, each of which can be
// used on its own. Every policy is a field of Options.
package dispatch
