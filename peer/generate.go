// Package peer is the service between banksail's own nodes, over twirp.
package peer

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto
