// Package relay carries what a node that reads the registry believes to the
// other nodes, over HTTP between nodes.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/internal/httpcall"
)

// ErrUnavailable is returned when the other node gave no usable answer.
var ErrUnavailable = errors.New("relay: no usable answer")

const (
	// path is where a node tells what it believes.
	path = "/beliefs"
	// publisherField and generationField name what the asker has already.
	publisherField  = "publisher"
	generationField = "generation"
	// connections bounds those to one node.
	connections = 1
	// answerBytes bounds an answer.
	answerBytes = 16 << 20
)

// Client asks other nodes; it implements discovery.Publishers.
type Client struct{ transport *http.Transport }

// NewClient returns a client; a nil dial means the operating system's TCP.
func NewClient(dial httpcall.DialFunc) *Client {
	return &Client{transport: httpcall.NewTransport(dial, connections)}
}

// Close closes the connections that carry nothing.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Ask implements discovery.Publishers.
func (c *Client) Ask(ctx context.Context, address string, known discovery.Mark) (discovery.Publication, error) {
	query := url.Values{
		publisherField:  {known.Publisher},
		generationField: {strconv.FormatUint(known.Generation, 10)},
	}
	reply, err := httpcall.Send(ctx, c.transport, httpcall.Call{Address: address, Path: path, Query: query, Limit: answerBytes})
	if err != nil {
		return discovery.Publication{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if reply.Code != http.StatusOK {
		return discovery.Publication{}, fmt.Errorf("%w: status %d", ErrUnavailable, reply.Code)
	}
	var publication discovery.Publication
	if err := json.Unmarshal(reply.Body, &publication); err != nil {
		return discovery.Publication{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return publication, nil
}

// Publisher tells what a node believes.
type Publisher interface {
	Publish(known discovery.Mark) (discovery.Publication, bool)
}

// Handler answers other nodes.
func Handler(publisher Publisher) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		generation, err := strconv.ParseUint(query.Get(generationField), 10, 64)
		if err != nil {
			http.Error(writer, generationField+" must be a number", http.StatusBadRequest)
			return
		}
		publication, ok := publisher.Publish(discovery.Mark{Publisher: query.Get(publisherField), Generation: generation})
		if !ok {
			http.Error(writer, "nothing is known yet", http.StatusServiceUnavailable)
			return
		}
		body, err := json.Marshal(publication)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", httpcall.JSON)
		_, _ = writer.Write(body) // an asker that has gone asks another node
	})
	return mux
}
