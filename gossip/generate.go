package gossip

//go:generate protoc -I .. --go_out=.. --go_opt=paths=source_relative gossip/gossip.proto
