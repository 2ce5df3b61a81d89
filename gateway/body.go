package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/banksail/banksail/inbound"
	"github.com/banksail/banksail/internal/bodyread"
	"github.com/banksail/banksail/internal/resource"
)

// receiveRequest reads the body of a request until the deadline, after which the request could not
// be answered in time any more. It returns a rejection if that fails. Without a connection the memory
// is not bounded.
func receiveRequest(writer http.ResponseWriter, incoming *http.Request, conn *inbound.Conn, limit int64, deadline time.Time) ([]byte, *rejection) {
	body, err := receiveBody(writer, incoming, conn, limit, deadline)
	if err == nil && conn != nil {
		err = conn.RequestReceived()
	}
	if err != nil {
		return nil, bodyRejection(err, conn)
	}
	return body, nil
}

func receiveBody(writer http.ResponseWriter, incoming *http.Request, conn *inbound.Conn, limit int64, deadline time.Time) ([]byte, error) {
	if incoming.Body == http.NoBody {
		return nil, nil
	}
	if earliest := time.Now().Add(discardTimeout); deadline.Before(earliest) { // routing rejects a request without time left
		deadline = earliest
	}
	setReadDeadline(writer, deadline)
	reserve := func(int64) error { return nil }
	if conn != nil {
		reserve = conn.ReserveBody
	}
	if incoming.Header.Get("Expect") != "" && incoming.ContentLength <= limit { // the body is sent only once it is read
		if err := reserve(incoming.ContentLength); err != nil {
			return nil, err
		}
	}
	return bodyread.Body{Source: incoming.Body, Length: incoming.ContentLength, Limit: limit}.ReadAll(reserve)
}

// bodyRejection returns the rejection of a request whose body could not be read.
func bodyRejection(err error, conn *inbound.Conn) *rejection {
	switch {
	case errors.Is(err, bodyread.ErrTooLong):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLong}
	case errors.Is(err, resource.ErrExhausted) || errors.Is(err, resource.ErrEvicted) || conn != nil && conn.IsEvicted():
		return &rejection{status: http.StatusServiceUnavailable, reason: reasonNoMemory, closes: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{status: http.StatusRequestTimeout, reason: reasonBodyTimeout, closes: true}
	default:
		return &rejection{status: http.StatusBadRequest, reason: reasonBody}
	}
}
