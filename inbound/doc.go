// Package inbound guards the connections that other processes open to a node. It follows the framing
// of their requests beside net/http and enforces timeouts that may change at run time.
package inbound
