// Package gateway takes callers' requests as they are, finds their routes, and
// answers them with what servers answered: it drives package routing with the
// connections of package exchange.
//
// It is the second door of the product beside package caller: requests here are
// opaque to it. What a node knows comes in through SetTable, SetServers and
// SetNodes; where it comes from is its owner's matter.
package gateway
