// Package exchange sends opaque HTTP/1.1 requests to servers and reads their complete
// replies.
//
// A request is written at most once; the package never retries, on any connection. A reply
// is accepted only if it is complete and repeats the attempt ID of the request. Bytes after
// a reply belong to no request, and the connection that delivered them is closed. No
// connection carries two attempts of one request, as their replies have the same attempt ID.
// Methods, targets and bodies reach the server byte for byte.
//
// Replies are parsed with net/http (http.ReadResponse), but not through its Transport, which
// would resend a GET on its own when a kept-alive connection has failed.
package exchange
