package emulator

import (
	"encoding/json"
	"errors"
	"net/http"
)

var errMethodNotAllowed = errors.New("emulator: method not allowed")

// problem is the body of an error response: problem details as in RFC 9457.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

func writeProblem(writer http.ResponseWriter, code int, err error) {
	writer.Header().Set("Content-Type", "application/problem+json")
	writeBody(writer, code, problem{Title: http.StatusText(code), Status: code, Detail: err.Error()})
}

func writeJSON(writer http.ResponseWriter, code int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writeBody(writer, code, value)
}

// writeBody writes the status code and the value as JSON. Write errors are
// ignored, since they mean that the client has disconnected.
func writeBody(writer http.ResponseWriter, code int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		code = http.StatusInternalServerError
		data = []byte(`{}`)
	}
	writer.WriteHeader(code)
	_, _ = writer.Write(append(data, '\n'))
}
