package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"

	"github.com/banksail/banksail/backend"
)

// hollowReaderBytes is the buffer of a hollow server's connection, small beside
// what the client keeps.
const hollowReaderBytes = 512

// connectionSweeps measures the memory of a node's idle connections to servers.
func connectionSweeps() []Sweep {
	return []Sweep{{
		Name: "connections", Role: "query path", Size: "connections", Fixed: "one to each server, idle, in memory",
		Sizes: []float64{40, 80, 160, 320, 640}, Today: 184, Planned: 320,
		Measure: func(ctx context.Context, size float64) ([]Sample, error) { return measureConnections(ctx, int(size)) },
	}}
}

// measureConnections opens idle connections of the client towards back ends over
// pipes in memory. What the hollow servers need is counted with them.
func measureConnections(ctx context.Context, count int) ([]Sample, error) {
	before := liveMemory()
	client := backend.NewClient(backend.ClientOptions{
		Dial:                 dialHollowServer,
		ConnectionsPerServer: func(string) int { return 1 },
	})
	defer client.CloseIdleConnections()
	for index := range count {
		if _, err := client.Health(ctx, addressOf(index, 7100)); err != nil {
			return nil, fmt.Errorf("scale: connection: %w", err)
		}
	}
	return []Sample{{"heap and stack bytes", liveMemory() - before}}, nil
}

// liveMemory is the live heap with the goroutines' stacks.
func liveMemory() float64 {
	heap := liveHeap()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(heap + statistics.StackInuse)
}

// dialHollowServer connects to a server that tells each request that it is ready.
func dialHollowServer(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go serveHealth(far)
	return near, nil
}

// serveHealth answers requests until the connection ends.
func serveHealth(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReaderSize(connection, hollowReaderBytes)
	const body = `{"state":"ready","incarnation":"1"}`
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", jsonType, len(body), body)
		if err != nil {
			return
		}
	}
}
