package exchange

import (
	"net"
	"sync/atomic"
)

// replyReader reads from a connection. While it is limited it fails with ErrReplyTooLarge instead of
// reading beyond the limit: net/http reads header lines of any length into memory.
type replyReader struct {
	conn      net.Conn
	limited   bool
	remaining int64 // in bytes, while limited
	// ended says that the server has closed or reset the connection. The parser's errors don't tell: a
	// header line that ends with the connection is malformed to it.
	ended bool
}

// Read implements io.Reader.
func (r *replyReader) Read(data []byte) (count int, err error) {
	switch {
	case !r.limited:
		count, err = r.conn.Read(data)
	case r.remaining <= 0:
		return 0, ErrReplyTooLarge
	default:
		count, err = r.conn.Read(data[:min(int64(len(data)), r.remaining)])
		r.remaining -= int64(count)
	}
	r.ended = r.ended || isDisconnect(err)
	return count, err
}

// replyMemory is the memory for the bodies of all replies of a client.
type replyMemory struct {
	limit int64 // in bytes
	used  atomic.Int64
}

// reserve reserves a number of bytes. It returns false if the limit does not allow it.
func (m *replyMemory) reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

func (m *replyMemory) release(bytes int64) { m.used.Add(-bytes) }
