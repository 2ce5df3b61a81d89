package inbound

import (
	"bytes"
	"slices"
	"strconv"
	"sync"
)

// framing follows the messages on a caller's connection, from header through body to the next
// header, and inspects each header. net/http does not report a header with both Content-Length and
// Transfer-Encoding, whose end another parser might place elsewhere, and its limit on the header
// size cannot change at run time.
//
// It relies on net/http to reject messages that are malformed: both then close the connection. It
// must see where a message ends exactly as net/http does, also if the body is discarded after the
// answer or the next request arrives before it.
type framing struct {
	mutex sync.Mutex
	// mutex guards the fields below: net/http reads in the background while a handler runs.
	part      messagePart // of the next byte
	remaining int64       // bytes left of the body or chunk
	line      []byte      // the current line, up to maxLineBytes bytes
	truncated bool        // the current line is longer than maxLineBytes
	header    messageHeader
	// complete holds the headers of requests that have not begun, in order.
	complete []Header
	// running is set while a request is handled, whose header takes runningMemory bytes.
	running       bool
	runningMemory int64
	requestCount  int
}

// messagePart is a part of a message.
type messagePart int

const (
	// partHeader: the header, or nothing of a message yet.
	partHeader messagePart = iota
	// partBody: a body with a length.
	partBody
	// partChunkSize, partChunkData and partChunkEnd: a chunk's size line, its content, and the line
	// end that follows.
	partChunkSize
	partChunkData
	partChunkEnd
	// partTrailer: the trailer of a chunked body.
	partTrailer
	// partUnknown: the message's end cannot be determined, so nothing after its header is
	// inspected. The connection must not carry another request.
	partUnknown
)

// maxLineBytes bounds the part of a line that is inspected. It holds every valid Content-Length
// field and chunk size.
const maxLineBytes = 128

// messageHeader is the state of a header that is being received.
type messageHeader struct {
	size, lineCount                int
	length                         int64
	hasLength, hasTransferEncoding bool
	invalidLength                  bool
	// framingLine is set while the current field is one of the two that determine the framing.
	framingLine bool
}

// consume inspects bytes read from the caller.
func (f *framing) consume(data []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for len(data) > 0 && f.part != partUnknown {
		if f.part == partBody || f.part == partChunkData {
			data = data[f.consumeContent(int64(len(data))):]
			continue
		}
		data = data[f.consumeLine(data):]
	}
}

// consumeContent consumes up to the given number of bytes of a body or chunk and returns how many
// they are.
func (f *framing) consumeContent(available int64) int64 {
	consumed := min(available, f.remaining)
	f.remaining -= consumed
	switch {
	case f.remaining > 0:
	case f.part == partChunkData:
		f.part = partChunkEnd
	default:
		f.part = partHeader
	}
	return consumed
}

// consumeLine consumes bytes up to the next line end and returns how many they are.
func (f *framing) consumeLine(data []byte) int {
	length := bytes.IndexByte(data, '\n')
	text, consumed := data, len(data)
	if length >= 0 {
		text, consumed = data[:length], length+1
	}
	room := maxLineBytes - len(f.line)
	f.truncated = f.truncated || len(text) > room
	f.line = append(f.line, text[:min(len(text), room)]...)
	isBlank := len(bytes.Trim(f.line, "\r")) == 0
	if f.part == partHeader && (!isBlank || f.header.size > 0) { // blank lines before a message do not belong to it
		f.header.size += consumed
	}
	if length >= 0 {
		f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line, f.truncated = f.line[:0], false
	}
	return consumed
}

// endLine handles a complete line.
func (f *framing) endLine(line []byte) {
	switch f.part {
	case partHeader:
		f.endHeaderLine(line)
	case partChunkSize:
		f.startChunk(line)
	case partChunkEnd:
		f.part = partChunkSize
		if len(line) > 0 {
			f.part = partUnknown
		}
	case partTrailer:
		if len(line) == 0 {
			f.part = partHeader
		}
	case partBody, partChunkData, partUnknown: // have no lines
	}
}

func (f *framing) endHeaderLine(line []byte) {
	if f.header.size == 0 {
		return
	}
	f.header.lineCount++
	switch {
	case len(line) == 0:
		f.endHeader()
	case f.header.lineCount > 1:
		f.header.inspectField(line, f.truncated)
	}
}

// fieldMemory is the memory of a parsed field besides its text, in bytes: its place in a map that
// has grown, its key and its list of values.
const fieldMemory = 160

// memory returns the memory that the header takes, parsed as far as it has been received, in bytes.
func (h *messageHeader) memory() int64 { return int64(2*h.size + fieldMemory*h.lineCount) }

// inspectField inspects one line of the fields. truncated reports that only its start is given.
func (h *messageHeader) inspectField(line []byte, truncated bool) {
	if line[0] == ' ' || line[0] == '\t' { // continues the field of the line before
		h.invalidLength = h.invalidLength || h.framingLine
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	isLength := bytes.EqualFold(name, []byte("Content-Length"))
	isTransferEncoding := bytes.EqualFold(name, []byte("Transfer-Encoding"))
	h.framingLine = isLength || isTransferEncoding
	h.hasTransferEncoding = h.hasTransferEncoding || isTransferEncoding
	if !isLength {
		return
	}
	length, err := strconv.ParseInt(string(bytes.Trim(value, " \t")), 10, 64)
	if err != nil || length < 0 || truncated || h.hasLength && length != h.length {
		h.invalidLength = true
	}
	h.hasLength, h.length = true, length
}

// endHeader records the complete header and determines what follows it.
func (f *framing) endHeader() {
	header := f.header
	f.header = messageHeader{}
	f.requestCount++
	info := Header{
		Size:      int64(header.size),
		Ambiguous: header.invalidLength || header.hasLength && header.hasTransferEncoding,
		Chunked:   header.hasTransferEncoding,
		First:     f.requestCount == 1,
		memory:    header.memory(),
	}
	f.complete = append(f.complete, info)
	switch {
	case info.Ambiguous:
		f.part = partUnknown
	case header.hasTransferEncoding:
		f.part = partChunkSize
	case header.length > 0:
		f.part, f.remaining = partBody, header.length
	}
}

// startChunk handles a chunk's size line. The chunk of size zero ends the body.
func (f *framing) startChunk(line []byte) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	switch {
	case err != nil:
		f.part = partUnknown
	case size == 0:
		f.part = partTrailer
	default:
		f.part, f.remaining = partChunkData, int64(size)
	}
}

// requestProgress is how much of the caller's next request has been received.
type requestProgress int

const (
	// requestNotStarted: nothing, as far as it is not the rest of an earlier request.
	requestNotStarted requestProgress = iota
	// requestStarted: a part of the header.
	requestStarted
	// requestReceived: the whole header, or an earlier request is still being handled.
	requestReceived
)

// progress returns how much of the next request has been received.
func (f *framing) progress() requestProgress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.running || len(f.complete) > 0:
		return requestReceived
	case f.header.size > 0:
		return requestStarted
	default:
		return requestNotStarted
	}
}

// Header describes one request's header.
type Header struct {
	// Size is the size in bytes, including the request line.
	Size int64
	// Ambiguous reports that two parsers might place the end of the message differently.
	Ambiguous bool
	// Chunked reports that the header has a Transfer-Encoding.
	Chunked bool
	// First reports that the request is the first of its connection.
	First bool
	// OutOfMemory reports that the node has no memory for the request, which must be rejected.
	OutOfMemory bool

	memory int64 // that the parsed header takes, in bytes
}

// beginRequest returns the header of the next request, which is about to be handled.
func (f *framing) beginRequest() Header {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running = true
	if len(f.complete) == 0 {
		return Header{Ambiguous: true} // net/http found a request where none was seen
	}
	info := f.complete[0]
	f.complete = slices.Delete(f.complete, 0, 1)
	f.runningMemory = info.memory
	return info
}

// endRequest records that the request has been handled. Its body may not have been read yet.
func (f *framing) endRequest() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running, f.runningMemory = false, 0
}

// headerMemory returns the memory that all headers take that have been received and not been
// handled yet, in bytes.
func (f *framing) headerMemory() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	total := f.runningMemory + f.header.memory()
	for _, header := range f.complete {
		total += header.memory
	}
	return total
}
