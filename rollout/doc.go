// Package rollout moves a service's traffic from one version of its servers to another. It limits
// what an unproven version receives from all nodes together, judges the version by its answers
// compared with those of the previous versions, and then completes the roll-out or rolls it back.
//
// The package consists of pure state machines: they take events with the time and return actions,
// and use no clock, goroutine or I/O. Canary limits what one node sends to the target, Evidence
// counts the answers that one node has seen, Judge evaluates the evidence of all nodes, and Decider
// takes one order through its phases by conditional writes to the registry. A decision takes effect
// only by such a write.
package rollout
