// Package route implements the routing table, which maps a request's host and path to a route: its
// timeout, latency target and priority, and the services that serve it.
//
// A Table is immutable. Versions increase monotonically, and a request keeps the table that it was
// matched against, so that all parts of its answer come from shards of one version.
package route
