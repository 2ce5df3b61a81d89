// Package soak runs the real node program as many processes on one machine, injects faults
// from outside, and checks what callers, servers and the operator observed.
//
// The store and the servers are stand-ins inside the soak's own process. Each node is a
// separate process, which is started, signalled and ended by its process ID. The links between
// nodes and the store, and between nodes and servers, are loopback proxies that can delay, reset,
// hold back or pass only one direction. Everything is recorded as a history, which package
// history checks. What that package does not cover (unexpected exits, the budget of extra
// attempts, roll-outs, evacuations, requests that crash servers, the resources of processes) is
// checked here.
package soak
