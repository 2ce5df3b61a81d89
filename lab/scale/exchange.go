package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
)

const (
	jsonType     = "application/json"
	resultBytes  = 200 // of one group's result, as JSON
	questionBody = `{"find":"open orders of hotel 17 on route 4"}`
	attemptText  = "node-00001-4711"
)

// exchangeSweeps measures the bytes between a node and the servers.
func exchangeSweeps() []Sweep {
	return []Sweep{
		{
			Name: "exchange-groups", Role: "query path", Size: "groups per query", Fixed: "results of 200 bytes",
			Sizes: []float64{8, 44, 88, 175, 262, 350}, Today: 12, Planned: groupsPlanned,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureExchange(int(size)) },
		},
		{
			Name: "health-servers", Role: "server health", Size: "servers", Fixed: "health read every 1.5 s",
			Sizes: []float64{70, 700, 1400, 2800, 5500}, Today: 70, Planned: plannedServers,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureHealth(size) },
		},
	}
}

// measureExchange encodes the sub-requests and replies of one query.
func measureExchange(groups int) ([]Sample, error) {
	sent, received := 0, 0
	for _, group := range serviceOf(groups, 1).Groups {
		request, err := httpRequestBytes(http.MethodPost, backend.QueryPath, backend.Request{
			AttemptID: attemptText, RequestID: planID(1), Service: serviceName, Class: className,
			Snapshot: uint64(hollowSnapshot), Range: group.Range, RemainingMilliseconds: 187.25,
			Repeatable: true, Body: json.RawMessage(questionBody),
		})
		if err != nil {
			return nil, err
		}
		reply, err := httpResponseBytes(replyOf(group.Range))
		if err != nil {
			return nil, err
		}
		sent += request
		received += reply
	}
	return []Sample{
		{"bytes sent/query", float64(sent)},
		{"bytes received/query", float64(received)},
	}, nil
}

func replyOf(keys coverage.Range) backend.Reply {
	snapshot := uint64(hollowSnapshot)
	result, _ := json.Marshal(string(bytes.Repeat([]byte("r"), resultBytes-2)))
	return backend.Reply{
		AttemptID: attemptText, Status: backend.StatusDone, Snapshot: &snapshot, Range: &keys,
		Body: result, Snapshots: []uint64{snapshot}, Load: &backend.Load{InFlight: 3, Queued: 1},
	}
}

// healthInterval is the default mean time between two readings of a server.
const healthInterval = 1.5

// measureHealth gives the bytes of reading all servers' health at the default rate.
func measureHealth(servers float64) ([]Sample, error) {
	request, err := httpRequestBytes(http.MethodGet, backend.HealthPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := httpResponseBytes(backend.Health{
		State: backend.HealthReady, Incarnation: planID(1), Snapshots: []uint64{uint64(hollowSnapshot)},
	})
	if err != nil {
		return nil, err
	}
	readings := servers / healthInterval
	return []Sample{
		{"readings/s", readings},
		{"bytes/s, sent and received", readings * float64(request+response)},
	}, nil
}

// httpRequestBytes is the size of a request of the backend client on the wire.
func httpRequestBytes(method, path string, body any) (int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("scale: encode: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+anyAddress+path, reader)
	if err != nil {
		return 0, fmt.Errorf("scale: request: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", jsonType)
	}
	var size byteCounter
	if err := request.Write(&size); err != nil {
		return 0, fmt.Errorf("scale: request: %w", err)
	}
	return int(size), nil
}

func httpResponseBytes(body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("scale: encode: %w", err)
	}
	size, err := responseBytes(len(data))
	// The two content types differ in length.
	return size - len(protobufType) + len(jsonType), err
}
