package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/banksail/banksail/internal/httpcall"
)

// ErrUnavailable is returned when no node tells where callers should go.
var ErrUnavailable = errors.New("directory: no node answers")

// Answer tells a caller where to connect, and for how long that counts.
type Answer struct {
	Addresses  []string      `json:"addresses"`
	TimeToLive time.Duration `json:"time_to_live_ns"`
}

// Resolver tells callers where to connect.
type Resolver interface {
	// Resolve lists at most the given number of addresses for a caller of a host. Its
	// error wraps ErrUnavailable.
	Resolve(ctx context.Context, host string, caller Caller, most int) (Answer, error)
}

const (
	// remotePath is where a node tells the directory beside it.
	remotePath = "/addresses"
	// answerBytes bounds an answer of a node: 64 addresses take 2 KB.
	answerBytes = 64 << 10
	// nodeTimeout is how long the node on the same machine may take: callers give a
	// directory a second and then ask another one.
	nodeTimeout = 300 * time.Millisecond
	// nodeConnections bounds the connections to that node.
	nodeConnections = 2
)

// Handler answers a directory that runs as a process of its own beside the node.
func Handler(node Resolver) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+remotePath, func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		most, err := strconv.Atoi(query.Get("most"))
		if err != nil || most < 1 {
			http.Error(writer, "most must be a positive number", http.StatusBadRequest)
			return
		}
		caller := Caller{Zone: query.Get("zone"), Region: query.Get("region")}
		answer, err := node.Resolve(request.Context(), query.Get("host"), caller, most)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusServiceUnavailable)
			return
		}
		body, err := json.Marshal(answer)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", httpcall.JSON)
		_, _ = writer.Write(body) // a directory that has gone needs no answer
	})
	return mux
}

// Remote asks a node; it implements Resolver.
type Remote struct {
	address   string
	transport *http.Transport
}

// NewRemote returns a resolver that asks the node at the address; a nil dial means the
// operating system's TCP.
func NewRemote(address string, dial httpcall.DialFunc) *Remote {
	return &Remote{address: address, transport: httpcall.NewTransport(dial, nodeConnections)}
}

// Close closes the connections that carry nothing.
func (r *Remote) Close() { r.transport.CloseIdleConnections() }

// Resolve implements Resolver.
func (r *Remote) Resolve(ctx context.Context, host string, caller Caller, most int) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	reply, err := httpcall.Send(ctx, r.transport, httpcall.Call{
		Address: r.address,
		Path:    remotePath,
		Query: url.Values{
			"host": {host}, "zone": {caller.Zone}, "region": {caller.Region}, "most": {strconv.Itoa(most)},
		},
		Limit: answerBytes,
	})
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if reply.Code != http.StatusOK {
		return Answer{}, fmt.Errorf("%w: status %d", ErrUnavailable, reply.Code)
	}
	var answer Answer
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return answer, nil
}
