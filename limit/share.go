package limit

import "math"

// HeadroomShares returns the share of a limit that each class may use, ordered from
// the most to the least urgent class. headroom[i] is the share reserved for class i
// and more urgent classes; less urgent classes cannot use it. No share is less than
// least.
func HeadroomShares(headroom []float64, least float64) []float64 {
	shares := make([]float64, len(headroom))
	remaining := 1.0
	for i, reserved := range headroom {
		shares[i] = max(remaining, least)
		remaining -= min(max(reserved, 0), 1)
	}
	return shares
}

// AllowedInFlight returns the number of requests that a class with the given share of
// a limit may have in flight. It rounds to the nearest integer, so that small limits
// lose as little as possible, and is at least 1, so that no class is blocked entirely.
func AllowedInFlight(limit int, share float64) int {
	return max(int(math.Round(float64(limit)*share)), 1)
}

// DefaultSpareConnections is the share of a server's connections that is reserved
// for new clients, health checks and other uses.
const DefaultSpareConnections = 0.1

// ConnectionShare returns the number of connections that each live client may hold to
// a server that accepts the given number of connections in total, of which the share
// spare stays unused. It is zero if there are more clients than usable connections,
// because then not every client can have a connection of its own.
func ConnectionShare(connections, clients int, spare float64) int {
	usable := int(float64(connections) * (1 - min(max(spare, 0), 1)))
	return usable / max(clients, 1)
}
