package gateway

import (
	"bytes"
	"sync"
)

// framing inspects the header of each request on a connection. net/http does not report a header
// with both Content-Length and Transfer-Encoding, whose end another parser might place elsewhere,
// and its limit on the header size cannot change at run time.
type framing struct {
	mutex sync.Mutex
	// mutex guards the fields below: net/http reads in the background while a handler runs.
	line                           []byte // the current line, up to maxNameLength bytes
	lineCount, size                int
	complete                       bool
	hasLength, hasTransferEncoding bool
	requestCount                   int
}

// maxNameLength is the length of the longest header name that is inspected, with its colon.
const maxNameLength = len("transfer-encoding:")

// headerProgress is how much of a request's header has been received.
type headerProgress int

const (
	// headerNotStarted: no byte has been received.
	headerNotStarted headerProgress = iota
	// headerStarted: a part has been received.
	headerStarted
	// headerComplete: the whole header has been received.
	headerComplete
)

// consume inspects bytes read from the caller and returns the progress of the request's header.
// Bytes after the header are ignored.
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

// headerInfo describes one request's header.
type headerInfo struct {
	// size is the size in bytes, including the request line.
	size int64
	// ambiguous reports that the header has both Content-Length and Transfer-Encoding.
	ambiguous bool
	// isFirst reports that the request is the first of its connection.
	isFirst bool
}

// beginRequest returns the header of the current request and counts the request.
func (f *framing) beginRequest() headerInfo {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requestCount++
	return headerInfo{size: int64(f.size), ambiguous: f.hasLength && f.hasTransferEncoding, isFirst: f.requestCount == 1}
}

// reset prepares for the header of the next request.
func (f *framing) reset() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.line = f.line[:0]
	f.lineCount, f.size = 0, 0
	f.complete, f.hasLength, f.hasTransferEncoding = false, false, false
}
