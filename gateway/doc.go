// Package gateway serves callers' HTTP requests: it matches them to routes and forwards them,
// unmodified, to servers. It drives package routing, which decides what to send, and sends
// attempts through the connections of package exchange.
//
// Besides package caller it is the second entry point for callers; to this one requests are
// opaque. The owner supplies the state of the cluster through SetTable, SetServers and SetNodes.
package gateway
