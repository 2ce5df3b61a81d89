// Package quarantine tells requests that crash the servers that run them from those that were
// on a server when it ended. It is pure: its owner reports what became of attempts, carries
// findings to other nodes and asks how a request may be sent.
package quarantine
