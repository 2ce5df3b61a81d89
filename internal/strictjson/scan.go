package strictjson

import "encoding/json"

// scanner steps through a document that encoding/json found to be valid.
type scanner struct {
	data []byte
	// next is the offset of the first byte that was not read.
	next int
}

// peek returns the next byte that is no white space, without reading it.
func (s *scanner) peek() byte {
	for {
		switch s.data[s.next] {
		case ' ', '\t', '\r', '\n':
			s.next++
		default:
			return s.data[s.next]
		}
	}
}

// more reads up to the next element of an object or a list; it is false when
// the closing bracket was read instead.
func (s *scanner) more(closing byte) bool {
	if s.peek() == ',' {
		s.next++
	}
	if s.peek() != closing {
		return true
	}
	s.next++
	return false
}

// text reads a string and returns it with its quotes.
func (s *scanner) text() []byte {
	start := s.next
	s.next = endOfString(s.data, start)
	return s.data[start:s.next]
}

// name reads the name of a field and the colon after it.
func (s *scanner) name() []byte {
	s.peek()
	text := s.text()
	s.peek()
	s.next++
	return unquote(text)
}

// scalar reads a number, a boolean or null.
func (s *scanner) scalar() []byte {
	start := s.next
	for s.next < len(s.data) {
		switch s.data[s.next] {
		case ',', ']', '}', ' ', '\t', '\r', '\n':
			return s.data[start:s.next]
		}
		s.next++
	}
	return s.data[start:]
}

// skip reads one value of any type.
func (s *scanner) skip() {
	switch s.peek() {
	case '"':
		s.text()
	case '{', '[':
		s.skipNested()
	default:
		s.scalar()
	}
}

func (s *scanner) skipNested() {
	open := 0
	for {
		switch s.data[s.next] {
		case '"':
			s.next = endOfString(s.data, s.next)
			continue
		case '{', '[':
			open++
		case '}', ']':
			open--
		}
		s.next++
		if open == 0 {
			return
		}
	}
}

// endOfString returns the offset behind the string that begins at start, or
// the document's end when the string has none.
func endOfString(data []byte, start int) int {
	for at := start + 1; at < len(data); at++ {
		switch data[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return len(data)
}

// unquote returns what a valid string stands for.
func unquote(text []byte) []byte {
	inner := text[1 : len(text)-1]
	for _, character := range inner {
		if character == '\\' {
			var decoded string
			_ = json.Unmarshal(text, &decoded) // The text is a valid string.
			return []byte(decoded)
		}
	}
	return inner
}

// depthExceeded returns the offset of the first bracket that opens a level
// beyond depth. The document need not be valid.
func depthExceeded(data []byte, depth int) (int, bool) {
	open := 0
	for at := 0; at < len(data); at++ {
		switch data[at] {
		case '"':
			at = endOfString(data, at) - 1
		case '{', '[':
			open++
			if open > depth {
				return at, true
			}
		case '}', ']':
			open--
		}
	}
	return 0, false
}
