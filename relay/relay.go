// Package relay carries what a node that reads the registry believes to the
// other nodes, over HTTP between nodes.
//
// An answer's body is the content of a publication, which is the same for all
// nodes that ask after the same generation: it is encoded once, and compressed
// when it is long. What differs each time stands in a header.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

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
	// epochField, revisionField and ageField, in milliseconds, name what is of no use to the
	// asker. A node that knows of no epochs names none.
	epochField    = "epoch"
	revisionField = "revision"
	ageField      = "most_age_ms"
	// stateHeader holds the publication without its content, as JSON.
	stateHeader = "Banksail-Publication"
	// maxConnections bounds those to one node.
	maxConnections = 1
	// maxResponseBytes bounds an answer, also once it is decompressed.
	maxResponseBytes = 16 << 20
)

// Client asks other nodes, and reports to them; it implements discovery.Publishers.
type Client struct{ publicationTransport, reportTransport *http.Transport }

// NewClient returns a client; a nil dial means the operating system's TCP.
func NewClient(dial httpcall.DialFunc) *Client {
	return &Client{publicationTransport: httpcall.NewTransport(dial, maxConnections), reportTransport: httpcall.NewTransport(dial, maxConnections)}
}

// Close closes the connections that carry nothing.
func (c *Client) Close() {
	c.publicationTransport.CloseIdleConnections()
	c.reportTransport.CloseIdleConnections()
}

// Fetch implements discovery.Publishers.
func (c *Client) Fetch(ctx context.Context, address string, request discovery.PublicationRequest) (discovery.Publication, error) {
	query := url.Values{
		publisherField:  {request.Known.Publisher},
		generationField: {strconv.FormatUint(request.Known.Generation, 10)},
		epochField:      {strconv.FormatUint(uint64(request.Position.Epoch), 10)},
		revisionField:   {strconv.FormatUint(uint64(request.Position.Revision), 10)},
		ageField:        {strconv.FormatInt(request.MaxAge.Milliseconds(), 10)},
	}
	call := httpcall.Call{
		Address: address,
		Path:    path,
		Query:   query,
		Header:  http.Header{"Accept-Encoding": {compressed}},
		Limit:   maxResponseBytes,
	}
	reply, err := httpcall.Send(ctx, c.publicationTransport, call)
	if err != nil {
		return discovery.Publication{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if reply.Code != http.StatusOK {
		return discovery.Publication{}, fmt.Errorf("%w: status %d", ErrUnavailable, reply.Code)
	}
	publication, err := decodePublication(reply)
	if err != nil {
		return discovery.Publication{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return publication, nil
}

func decodePublication(reply httpcall.Reply) (discovery.Publication, error) {
	var publication discovery.Publication
	if err := json.Unmarshal([]byte(reply.Header.Get(stateHeader)), &publication.PublicationHeader); err != nil {
		return discovery.Publication{}, fmt.Errorf("%s: %w", stateHeader, err)
	}
	body := reply.Body
	if reply.Header.Get("Content-Encoding") == compressed {
		var err error
		if body, err = decompress(body); err != nil {
			return discovery.Publication{}, err
		}
	}
	if err := json.Unmarshal(body, &publication.PublicationContent); err != nil {
		return discovery.Publication{}, err
	}
	return publication, nil
}

// Publisher tells what a node believes.
type Publisher interface {
	Publish(request discovery.PublicationRequest) (discovery.Publication, bool)
}

// Handler answers other nodes.
func Handler(publisher Publisher) http.Handler {
	mux := http.NewServeMux()
	cache := new(contentCache)
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		publicationRequest, err := parseRequest(request.URL.Query())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		publication, ok := publisher.Publish(publicationRequest)
		if !ok {
			http.Error(writer, "nothing of use is known", http.StatusServiceUnavailable)
			return
		}
		if err := writePublication(writer, publication, cache); err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
		}
	})
	return mux
}

// parseRequest reads an inquiry; its error names the field that is not a number.
func parseRequest(query url.Values) (discovery.PublicationRequest, error) {
	numbers := make(map[string]uint64)
	for _, field := range []string{generationField, epochField, revisionField, ageField} {
		if field == epochField && !query.Has(field) {
			continue
		}
		number, err := strconv.ParseUint(query.Get(field), 10, 63)
		if err != nil {
			return discovery.PublicationRequest{}, fmt.Errorf("%s must be a number", field)
		}
		numbers[field] = number
	}
	return discovery.PublicationRequest{
		Known: discovery.Cursor{Publisher: query.Get(publisherField), Generation: numbers[generationField]},
		Position: discovery.Position{
			Epoch: discovery.Epoch(numbers[epochField]), Revision: discovery.Revision(numbers[revisionField]),
		},
		MaxAge: time.Duration(numbers[ageField]) * time.Millisecond,
	}, nil
}

func writePublication(writer http.ResponseWriter, publication discovery.Publication, cache *contentCache) error {
	state, err := json.Marshal(publication.PublicationHeader)
	if err != nil {
		return err
	}
	content, err := cache.content(publication)
	if err != nil {
		return err
	}
	header := writer.Header()
	header.Set("Content-Type", httpcall.JSON)
	header.Set(stateHeader, string(state))
	if content.compressed {
		header.Set("Content-Encoding", compressed)
	}
	_, _ = writer.Write(content.data) // an asker that has gone asks another node
	return nil
}
