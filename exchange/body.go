package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// initialBodyBytes is the initial capacity of a body that is longer or of unknown length.
	initialBodyBytes = 16 << 10
	// unreservedBodyBytes is the capacity up to which a body counts towards no limit, so that long
	// bodies of some servers never prevent ordinary replies of others.
	unreservedBodyBytes = 64 << 10
)

// body is the body of a reply. Its buffer grows with the bytes that are received: the length that
// a server announces says nothing about whether they will come.
type body struct {
	memory   *replyMemory
	data     []byte
	reserved int64 // bytes of memory
}

// read reads a complete body of at most limit bytes. After an error the body holds no memory. It
// does not close response.Body, which would read on to the body's end, however far that is.
func (b *body) read(response *http.Response, limit int64) error {
	if response.ContentLength > limit {
		return fmt.Errorf("%w: %w: body of %d bytes exceeds limit of %d", ErrMalformed, ErrReplyTooLarge, response.ContentLength, limit)
	}
	err := b.readAll(response, limit)
	if err != nil {
		b.release()
	}
	return err
}

func (b *body) readAll(response *http.Response, limit int64) error {
	maxCapacity := response.ContentLength
	if maxCapacity < 0 {
		maxCapacity = limit + 1 // one more, to detect a longer body
	}
	for {
		if len(b.data) == cap(b.data) && int64(len(b.data)) < maxCapacity {
			if err := b.grow(maxCapacity); err != nil {
				return err
			}
		}
		count, err := response.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+count]
		switch {
		case int64(len(b.data)) > limit:
			return fmt.Errorf("%w: %w: body exceeds limit of %d bytes", ErrMalformed, ErrReplyTooLarge, limit)
		case errors.Is(err, io.EOF) || int64(len(b.data)) == response.ContentLength:
			return nil
		case err != nil && isTransportError(err):
			return fmt.Errorf("%w: reading reply body: %w", ErrOutcomeUnknown, err)
		case err != nil:
			return fmt.Errorf("%w: reading reply body: %w", ErrMalformed, err)
		}
	}
}

// grow doubles the capacity, up to the given maximum.
func (b *body) grow(maxCapacity int64) error {
	capacity := min(max(2*int64(cap(b.data)), initialBodyBytes), maxCapacity)
	if additional := capacity - b.reserved; capacity > unreservedBodyBytes {
		if !b.memory.reserve(additional) {
			return fmt.Errorf("%w: %w: reply body of more than %d bytes", ErrOutcomeUnknown, ErrReplyMemoryExhausted, len(b.data))
		}
		b.reserved += additional
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return nil
}

func (b *body) release() {
	b.memory.release(b.reserved)
	b.reserved = 0
}
