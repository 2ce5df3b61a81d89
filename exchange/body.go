package exchange

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/banksail/banksail/internal/bodyread"
)

// unreservedBodyBytes is the capacity up to which a body counts towards no limit, so that long
// bodies of some servers never prevent ordinary replies of others.
const unreservedBodyBytes = 64 << 10

// body is the body of a reply.
type body struct {
	memory   *replyMemory
	data     []byte
	reserved int64 // bytes of memory
}

// read reads a complete body of at most limit bytes. After an error the body holds no memory. It
// does not close response.Body, which would read on to the body's end, however far that is.
func (b *body) read(response *http.Response, limit int64) (err error) {
	b.data, err = bodyread.Body{Source: response.Body, Length: response.ContentLength, Limit: limit}.ReadAll(b.reserve)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bodyread.ErrTooLong):
		err = fmt.Errorf("%w: %w: %w", ErrMalformed, ErrReplyTooLarge, err)
	case errors.Is(err, ErrReplyMemoryExhausted) || isTransportError(err):
		err = fmt.Errorf("%w: reading reply body: %w", ErrOutcomeUnknown, err)
	default:
		err = fmt.Errorf("%w: reading reply body: %w", ErrMalformed, err)
	}
	b.release()
	return err
}

// reserve reserves memory for a buffer of the given capacity.
func (b *body) reserve(capacity int64) error {
	if capacity <= unreservedBodyBytes {
		return nil
	}
	additional := capacity - b.reserved
	if !b.memory.reserve(additional) {
		return fmt.Errorf("%w: body of up to %d bytes", ErrReplyMemoryExhausted, capacity)
	}
	b.reserved += additional
	return nil
}

func (b *body) release() {
	b.memory.release(b.reserved)
	b.reserved = 0
}
