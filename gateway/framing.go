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
	line            []byte
	lines, size     int
	ended           bool
	length, chunked bool
	requests        int
}

// longestName is the length of the longest header name that matters, with its colon.
const longestName = len("transfer-encoding:")

// progress tells how far a request's header has come.
type progress int

const (
	// headerAwaited: no byte of it has come.
	headerAwaited progress = iota
	// headerBegun: it has not ended.
	headerBegun
	// headerWhole: it has ended.
	headerWhole
)

// take looks at bytes that the caller has sent, and tells how far they bring the
// request's header.
func (f *framing) take(data []byte) progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, b := range data {
		if f.ended {
			return headerWhole
		}
		f.size++
		if b == '\n' {
			f.endLine()
			continue
		}
		if b != '\r' && len(f.line) < longestName {
			f.line = append(f.line, b)
		}
	}
	switch {
	case f.ended:
		return headerWhole
	case f.size > 0:
		return headerBegun
	default:
		return headerAwaited
	}
}

func (f *framing) endLine() {
	name := bytes.ToLower(f.line)
	f.line = f.line[:0]
	f.lines++
	switch {
	case len(name) == 0 && f.lines > 1:
		f.ended = true
	case bytes.HasPrefix(name, []byte("content-length:")):
		f.length = true
	case bytes.HasPrefix(name, []byte("transfer-encoding:")):
		f.chunked = true
	}
}

// header is what was seen of one request's header.
type header struct {
	// size is in bytes, with the request line.
	size int64
	// ambiguous says that the header gives both a length and chunks.
	ambiguous bool
	// first says that it is the connection's first request.
	first bool
}

// request returns what was seen of the request at hand.
func (f *framing) request() header {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests++
	return header{size: int64(f.size), ambiguous: f.length && f.chunked, first: f.requests == 1}
}

// next begins with the next request.
func (f *framing) next() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.line = f.line[:0]
	f.lines, f.size = 0, 0
	f.ended, f.length, f.chunked = false, false, false
}
