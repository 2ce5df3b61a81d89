package gateway

import (
	"bytes"
	"sync"
)

// framing watches the header of each request of one connection: net/http keeps
// quiet about a header that gives both a length and chunks, of which another
// reader might take the other, and bounds headers by one number for all time.
type framing struct {
	mutex sync.Mutex
	// mutex guards the fields below: net/http reads in the background while a
	// handler runs.
	line                           []byte
	lineCount, size                int
	complete                       bool
	hasLength, hasTransferEncoding bool
	requestCount                   int
}

// maxNameLength is the length of the longest header name that matters, with its colon.
const maxNameLength = len("transfer-encoding:")

// headerProgress tells how far a request's header has come.
type headerProgress int

const (
	// headerNotStarted: no byte of it has come.
	headerNotStarted headerProgress = iota
	// headerStarted: it has not ended.
	headerStarted
	// headerComplete: it has ended.
	headerComplete
)

// consume looks at bytes that the caller has sent, and tells how far they bring the
// request's header.
func (f *framing) consume(data []byte) headerProgress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, b := range data {
		if f.complete {
			return headerComplete
		}
		f.size++
		if b == '\n' {
			f.endLine()
			continue
		}
		if b != '\r' && len(f.line) < maxNameLength {
			f.line = append(f.line, b)
		}
	}
	switch {
	case f.complete:
		return headerComplete
	case f.size > 0:
		return headerStarted
	default:
		return headerNotStarted
	}
}

func (f *framing) endLine() {
	name := bytes.ToLower(f.line)
	f.line = f.line[:0]
	f.lineCount++
	switch {
	case len(name) == 0 && f.lineCount > 1:
		f.complete = true
	case bytes.HasPrefix(name, []byte("content-length:")):
		f.hasLength = true
	case bytes.HasPrefix(name, []byte("transfer-encoding:")):
		f.hasTransferEncoding = true
	}
}

// headerInfo is what was seen of one request's header.
type headerInfo struct {
	// size is in bytes, with the request line.
	size int64
	// ambiguous says that the header gives both a length and chunks.
	ambiguous bool
	// isFirst says that it is the connection's first request.
	isFirst bool
}

// beginRequest returns what was seen of the request at hand.
func (f *framing) beginRequest() headerInfo {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requestCount++
	return headerInfo{size: int64(f.size), ambiguous: f.hasLength && f.hasTransferEncoding, isFirst: f.requestCount == 1}
}

// reset begins with the next request.
func (f *framing) reset() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.line = f.line[:0]
	f.lineCount, f.size = 0, 0
	f.complete, f.hasLength, f.hasTransferEncoding = false, false, false
}
