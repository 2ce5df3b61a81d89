package backend_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/banksail/banksail/backend"
)

func startBenchmarkServer(b *testing.B) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(writer, doneReply)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// BenchmarkQuery is the counterpart of BenchmarkBareClient, which does the same
// exchange with the client of net/http alone.
func BenchmarkQuery(b *testing.B) {
	address := startBenchmarkServer(b)
	client := backend.NewClient(backend.ClientOptions{})
	defer client.CloseIdleConnections()
	request := newQuery("a1")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Query(b.Context(), address, request); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBareClient(b *testing.B) {
	address := startBenchmarkServer(b)
	request := newQuery("a1")
	b.ReportAllocs()
	for b.Loop() {
		body, err := json.Marshal(request)
		if err != nil {
			b.Fatal(err)
		}
		response, err := http.Post("http://"+address+backend.QueryPath, "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		reply := backend.Reply{}
		if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
			b.Fatal(err)
		}
		response.Body.Close()
	}
}
