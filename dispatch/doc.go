// Package dispatch is the pure state machine that carries every query of one
// service on one node: admission, choice of replicas, hedges, collection, and
// the final answer.
//
// The machine has no goroutine, clock or I/O. Its owner calls Step with the
// events that happened, serialised by the owner's lock, and carries out the
// actions that Step returns. The daemon, the simulation, the experiments and
// replay all drive this same machine: the same events, times and seed give the
// same actions, byte for byte.
//
// Times are durations since an epoch that the owner picks; they never decrease
// between calls.
//
// It composes the packages admission, gather, limit, retry and snapshot, each
// of which can be used alone. Every policy is a field of Options.
package dispatch
