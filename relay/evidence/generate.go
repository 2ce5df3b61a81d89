// Package evidence defines the twirp service by which nodes report to the deciders of roll-outs what
// they have seen.
package evidence

//go:generate protoc -I ../.. --go_out=../.. --go_opt=paths=source_relative --twirp_out=../.. --twirp_opt=paths=source_relative relay/evidence/evidence.proto
