// Package limit adapts, per server and without coordination, the number of
// requests that one client may have in flight to that server.
//
// A server's slots are shared by clients that do not know each other's load. A
// Limiter starts from the configured number of slots and adapts by additive
// increase and multiplicative decrease: the limit decreases on shed replies and
// when the latencies in a window are clearly above the server's own baseline,
// and increases after windows that reached the limit without such a sign.
//
// HeadroomShares gives priority classes different shares of a limit;
// ConnectionShare divides the connections that a server accepts.
//
// The package does no I/O, starts no goroutines and reads no clock; the caller
// passes the current time. Its types are not safe for concurrent use.
package limit
