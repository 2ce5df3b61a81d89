// Package bodyread reads the bodies of HTTP messages into memory. Their buffers grow with the bytes
// that are received: the length that the other side announces says nothing about whether they will
// come.
package bodyread

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLong is returned for a body that exceeds the limit.
var ErrTooLong = errors.New("body is too long")

// initialBytes is the initial capacity of a body that is longer or of unknown length.
const initialBytes = 4 << 10

// Body describes a body.
type Body struct {
	Source io.Reader
	// Length is the announced length in bytes; negative means unknown.
	Length int64
	// Limit is the greatest length that is read.
	Limit int64
}

// ReadAll reads the complete body. reserve is called before the buffer grows to the given capacity,
// in bytes; its error stops the read. The errors are ErrTooLong and those of reserve and Source,
// wrapped.
func (b Body) ReadAll(reserve func(capacity int64) error) (data []byte, err error) {
	if b.Length > b.Limit {
		return nil, fmt.Errorf("%w: %d bytes announced, the limit is %d", ErrTooLong, b.Length, b.Limit)
	}
	maxCapacity := b.Length
	if maxCapacity < 0 {
		maxCapacity = b.Limit + 1 // one more, to detect a longer body
	}
	for {
		if len(data) == cap(data) && int64(len(data)) < maxCapacity {
			if data, err = grow(data, maxCapacity, reserve); err != nil {
				return nil, err
			}
		}
		count, err := b.Source.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case int64(len(data)) > b.Limit:
			return nil, fmt.Errorf("%w: the limit is %d bytes", ErrTooLong, b.Limit)
		case errors.Is(err, io.EOF) || int64(len(data)) == b.Length:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow doubles the capacity, up to the given maximum.
func grow(data []byte, maxCapacity int64, reserve func(capacity int64) error) ([]byte, error) {
	capacity := min(max(2*int64(cap(data)), initialBytes), maxCapacity)
	if err := reserve(capacity); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	return grown, nil
}
