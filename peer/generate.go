// Package peer implements the twirp service through which banksail's own nodes
// exchange membership, configurations, claims, forwarded sub-requests and the state of
// back-end servers.
package peer

//go:generate protoc -I .. --go_out=.. --go_opt=paths=source_relative --twirp_out=.. --twirp_opt=paths=source_relative peer/peer.proto
