// Package route holds the table of routes that is in force: which requests
// belong to which route, what is promised to its callers, and which services
// answer it.
//
// A table is a value that is never changed once it was made. Its version is a
// number that only rises; a request keeps the table that it was matched with,
// so that all its parts come from the shards of one version.
package route
