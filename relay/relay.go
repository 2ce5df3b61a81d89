// Package relay carries publications, the registry content that a node knows, and reports on
// roll-outs between nodes, over HTTP.
//
// The response body is the content of a publication. It is the same for all nodes that ask for the
// changes since the same generation, so it is encoded once, and compressed if it is long. What differs
// between responses is in a header.
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

// ErrUnavailable is returned if the other node gave no usable response.
var ErrUnavailable = errors.New("relay: no usable response")

const (
	// path serves publications.
	path = "/beliefs"
	// publisherField and generationField identify the last publication that the client has received.
	publisherField  = "publisher"
	generationField = "generation"
	// epochField, revisionField and ageField (in milliseconds; 0 means any) give the oldest position and
	// the greatest age of a publication that is still useful to the client. The epoch may be missing,
	// since a node that does not know of epochs sends none.
	epochField    = "epoch"
	revisionField = "revision"
	ageField      = "most_age_ms"
	// stateHeader holds the publication without its content, as JSON.
	stateHeader = "Banksail-Publication"
	// maxConnections bounds the connections to one node, separately for publications and for reports.
	maxConnections = 1
	// maxResponseBytes bounds a response body, before and after decompression.
	maxResponseBytes = 16 << 20
)

// Client fetches publications from other nodes and sends reports to them. It implements
// discovery.PublicationFetcher.
type Client struct{ publicationTransport, reportTransport *http.Transport }

// NewClient returns a client. A nil dial uses the operating system's TCP.
func NewClient(dial httpcall.DialFunc) *Client {
	return &Client{publicationTransport: httpcall.NewTransport(dial, maxConnections), reportTransport: httpcall.NewTransport(dial, maxConnections)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.publicationTransport.CloseIdleConnections()
	c.reportTransport.CloseIdleConnections()
}

// Fetch implements discovery.PublicationFetcher. Its errors wrap ErrUnavailable.
func (c *Client) Fetch(ctx context.Context, address string, request discovery.PublicationRequest) (discovery.Publication, error) {
	query := url.Values{
		publisherField:  {request.Known.Publisher},
		generationField: {strconv.FormatUint(request.Known.Generation, 10)},
		epochField:      {strconv.FormatUint(uint64(request.Position.Epoch), 10)},
		revisionField:   {strconv.FormatUint(uint64(request.Position.Revision), 10)},
		ageField:        {strconv.FormatInt(request.MaxAge.Milliseconds(), 10)},
	}
	call := httpcall.Call{
		Address:      address,
		Path:         path,
		Query:        query,
		Header:       http.Header{"Accept-Encoding": {compressed}},
		MaxBodyBytes: maxResponseBytes,
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

// decodePublication reads a publication from the header and body of a response.
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

// Publisher provides the publications that Handler serves.
type Publisher interface {
	// Publish returns the publication that answers a request, or false if it would be of no use to the
	// client.
	Publish(request discovery.PublicationRequest) (discovery.Publication, bool)
}

// Handler returns a handler that serves publications to other nodes.
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

// parseRequest reads a request from the URL's query. Its error names the field that is not a number.
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

// writePublication writes a publication as a response.
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
	_, _ = writer.Write(content.data) // a client that has disconnected asks another node
	return nil
}
