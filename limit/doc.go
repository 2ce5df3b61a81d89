// Package limit learns, for each server and without a coordinator, how many
// requests one client may have in flight there.
//
// A server's slots are shared by clients that don't know each other's load. A
// Limiter starts from the server's configured slots and adapts by additive
// increase and multiplicative decrease: shed replies and windows of answers
// that took clearly longer than the server's own baseline lower the limit,
// windows in which the limit was reached without such a sign raise it.
//
// Headroom gives priority classes different shares of a limit;
// ConnectionShare divides the connections that a server accepts.
//
// The package has no I/O, clock or goroutine; the caller passes the time. Its
// types are not safe for concurrent use.
package limit
