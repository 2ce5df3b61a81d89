// Package peer is the service between banksail's own nodes, over twirp.
package peer

//go:generate protoc -I .. --go_out=.. --go_opt=paths=source_relative --twirp_out=.. --twirp_opt=paths=source_relative peer/peer.proto
