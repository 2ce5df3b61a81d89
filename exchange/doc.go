// Package exchange carries opaque HTTP/1.1 requests to servers and reads their
// whole answers.
//
// A request is written once: nothing is ever sent again here, on whatever
// connection. An answer is taken only when it is whole and carries back the
// attempt ID of the request; bytes after it belong to no request, and the
// connection that brought them is closed. Methods, targets and bodies reach the
// server byte for byte.
//
// net/http reads answers (http.ReadResponse), but its Transport is not used: it
// would send a GET again by itself when a kept connection has died.
package exchange
