package inbound

import (
	"io"
	"net/http"
)

// Handler returns a handler that begins and finishes requests for an ordinary one. It rejects
// requests whose framing is ambiguous and those for which there is no memory, and counts the memory
// of bodies as they are read. Requests keep their memory from then on, so the server must limit the
// time to read one.
func Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := FromContext(request.Context())
		if conn == nil {
			inner.ServeHTTP(writer, request)
			return
		}
		header := conn.BeginRequest()
		defer conn.FinishRequest()
		switch {
		case header.Ambiguous:
			rejectAndClose(writer, http.StatusBadRequest)
			return
		case header.OutOfMemory || conn.RequestReceived() != nil:
			rejectAndClose(writer, http.StatusServiceUnavailable)
			return
		}
		if request.Body != http.NoBody {
			request.Body = &countedBody{ReadCloser: request.Body, conn: conn}
		}
		inner.ServeHTTP(writer, request)
	})
}

func rejectAndClose(writer http.ResponseWriter, status int) {
	writer.Header().Set("Connection", "close")
	writer.WriteHeader(status)
}

// countedBody reserves memory for what is read of a body.
type countedBody struct {
	io.ReadCloser
	conn     *Conn
	received int64
}

// BufferGrowth is how much larger a handler's buffer may be than what it has read of a body, as a
// factor. So much is reserved.
const BufferGrowth = 2

// Read implements io.Reader. Its errors are those of resource.Holder.Resize and of the body.
func (b *countedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	b.received += int64(count)
	if reserveErr := b.conn.ReserveBody(BufferGrowth * b.received); reserveErr != nil {
		return 0, reserveErr
	}
	return count, err
}
