package strictjson

import "encoding/json"

// scanner reads a document that encoding/json has found to be syntactically
// valid.
type scanner struct {
	data []byte
	// next is the offset of the first unread byte.
	next int
}

// peek skips white space and returns the next byte without consuming it.
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

// more advances to the next element of an object or a list. If there is none, it
// consumes the closing bracket and returns false.
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

// text consumes a string and returns it including its quotes.
func (s *scanner) text() []byte {
	start := s.next
	s.next = endOfString(s.data, start)
	return s.data[start:s.next]
}

// name consumes the name of a field and the colon after it, and returns the
// unquoted name.
func (s *scanner) name() []byte {
	s.peek()
	text := s.text()
	s.peek()
	s.next++
	return unquote(text)
}

// scalar consumes a number, a boolean or null.
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

// skip consumes one value of any type.
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

// skipNested consumes an object or a list with everything nested in it.
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

// endOfString returns the offset after the string that begins at start, or the
// length of the document if the string is not terminated.
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

// unquote returns the value of a valid JSON string.
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

// depthExceeded returns the offset of the first bracket that exceeds the nesting
// depth, and whether there is one. The document need not be valid.
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
