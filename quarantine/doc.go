// Package quarantine distinguishes requests that crash the servers that run them (poison
// requests) from requests that were running on a server when it crashed for another reason.
//
// It does no I/O. The owner reports the outcomes of attempts, sends findings to other nodes,
// and asks for the Status of a request before sending it.
package quarantine
