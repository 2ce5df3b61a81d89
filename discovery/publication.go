package discovery

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/route"
)

// ErrStale is returned for a publication that is too old, or older than what is known already.
var ErrStale = errors.New("discovery: publication is stale")

// Mark names what a node published last: it changes with what is published.
type Mark struct {
	// Publisher is the incarnation of the node that publishes.
	Publisher string `json:"publisher"`
	// Generation grows whenever what is believed changes.
	Generation uint64 `json:"generation"`
}

// Publication is what a node that reads the registry believes.
type Publication struct {
	Mark
	// Revision is the registry's, up to which the publisher has read.
	Revision Revision `json:"revision"`
	// Age is how old the belief was when it was published.
	Age time.Duration `json:"age_ns"`
	// Unchanged says that the reader has it already; the rest is empty then.
	Unchanged bool              `json:"unchanged,omitempty"`
	Servers   []Server          `json:"servers,omitempty"`
	Nodes     []Node            `json:"nodes,omitempty"`
	Table     *route.Definition `json:"table,omitempty"`
}

// Publishers asks other nodes for what they believe.
type Publishers interface {
	// Ask returns what the node at the address believes; Unchanged if that is
	// what known marks.
	Ask(ctx context.Context, address string, known Mark) (Publication, error)
}

// readersOf returns the nodes that read the registry for all, the first choice
// first. All nodes that see the same members choose the same.
func readersOf(nodes []Node, count int) []Node {
	ranked := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Leaving || n.Peer == "" })
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked[:min(len(ranked), count)]
}

// Publish tells what the follower believes; it implements what Publishers ask.
// ok is false while nothing is known.
func (f *Follower) Publish(known Mark) (publication Publication, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	age, heard := f.view.Age(f.now())
	if !heard || f.table == nil {
		return Publication{}, false
	}
	publication = Publication{
		Mark:     Mark{Publisher: f.options.Self, Generation: f.generation},
		Revision: f.revision,
		Age:      age,
	}
	if publication.Mark == known {
		publication.Unchanged = true
		return publication, true
	}
	definition := f.table.Definition()
	publication.Servers, publication.Nodes, publication.Table = f.view.Servers(), f.view.Nodes(), &definition
	return publication, true
}

// publishersTried bounds the readers that are asked for one reading.
const publishersTried = 2

// relayed takes in what a reader of the registry believes. It fails when this
// node is the first reader itself, or none of the readers has a fresh belief.
func (f *Follower) relayed(ctx context.Context) error {
	if f.options.Publishers == nil || !f.listed {
		return ErrUnavailable
	}
	for _, reader := range readersOf(f.Nodes(), publishersTried) {
		if reader.ID == f.options.Self {
			return ErrUnavailable
		}
		asking, cancel := context.WithTimeout(ctx, f.options.PublisherTimeout)
		publication, err := f.options.Publishers.Ask(asking, reader.Peer, f.marks[reader.ID])
		cancel()
		if err == nil {
			err = f.takePublication(reader.ID, publication)
		}
		if err == nil {
			return nil
		}
		f.options.Logger.Debug().Err(err).Str("reader", reader.ID).Msg("reader did not help")
	}
	return ErrUnavailable
}

// takePublication believes what a reader does, unless that is too old.
func (f *Follower) takePublication(reader string, publication Publication) error {
	f.mutex.Lock()
	if publication.Age > f.options.StaleAfter || publication.Revision < f.revision {
		f.mutex.Unlock()
		return ErrStale
	}
	heardAt := f.now() - publication.Age
	f.revision = publication.Revision
	if publication.Unchanged && f.marks[reader] == publication.Mark {
		f.view.Heard(heardAt)
		f.mutex.Unlock()
		return nil
	}
	f.mutex.Unlock()
	return f.adopt(reader, heardAt, publication)
}

// adopt replaces what is believed by a whole publication.
func (f *Follower) adopt(reader string, heardAt time.Duration, publication Publication) error {
	if publication.Unchanged || publication.Table == nil {
		return ErrStale
	}
	table, err := route.New(*publication.Table)
	if err != nil {
		return err
	}
	changes := Changes{Revision: publication.Revision, Table: table}
	for _, server := range publication.Servers {
		changes.Servers = append(changes.Servers, Entry[Server]{ID: server.ID, Revision: publication.Revision, Value: server})
	}
	for _, node := range publication.Nodes {
		changes.Nodes = append(changes.Nodes, Entry[Node]{ID: node.ID, Revision: publication.Revision, Value: node})
	}
	f.mutex.Lock()
	f.view.RetainServers(heardAt, listedIDs(changes.Servers, nil), publication.Revision)
	f.view.RetainNodes(heardAt, listedIDs(changes.Nodes, nil), publication.Revision)
	f.marks = map[string]Mark{reader: publication.Mark}
	f.mutex.Unlock()
	f.take(heardAt, changes)
	return nil
}
