package limit

import "math"

// HeadroomShares returns, for classes listed from the most urgent to the least, the
// share of a limit that each may use. headroom[i] is the share that is kept for
// class i and those before it: later classes can't use it. No share falls
// below least.
func HeadroomShares(headroom []float64, least float64) []float64 {
	shares := make([]float64, len(headroom))
	left := 1.0
	for i, kept := range headroom {
		shares[i] = max(left, least)
		left -= min(max(kept, 0), 1)
	}
	return shares
}

// AllowedInFlight is the number of requests that a class with the given share of a
// limit may have in flight: the nearest whole number, so that small limits lose
// least, but at least one, so that no class is shut out.
func AllowedInFlight(limit int, share float64) int {
	return max(int(math.Round(float64(limit)*share)), 1)
}

// DefaultSpareConnections is the share of a server's connections that is left
// for clients that just came, health checks and others.
const DefaultSpareConnections = 0.1

// ConnectionShare is the number of connections that each of the live clients
// may hold to a server that accepts connections in all, when the share spare
// of them is left free. It is zero when there are more clients than
// connections: then not every client can have one of its own.
func ConnectionShare(connections, clients int, spare float64) int {
	usable := int(float64(connections) * (1 - min(max(spare, 0), 1)))
	return usable / max(clients, 1)
}
