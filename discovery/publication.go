package discovery

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/route"
)

// ErrStale is returned for a publication that is too old, or older than what is known already.
var ErrStale = errors.New("discovery: publication is stale")

// Cursor names what a node published last: it changes with what is published.
type Cursor struct {
	// Publisher is the incarnation of the node that publishes.
	Publisher string `json:"publisher"`
	// Generation grows whenever what is believed changes.
	Generation uint64 `json:"generation"`
}

// Publication is what a node that reads the registry believes.
type Publication struct {
	PublicationHeader
	PublicationContent
}

// PublicationHeader tells what a publication is, and how old.
type PublicationHeader struct {
	Cursor
	// Since is the generation after which the publication tells what changed;
	// zero means that it is whole.
	Since uint64 `json:"since,omitempty"`
	// Position is up to where the publisher knows the registry.
	Position
	// Age is how old the belief was when it was published.
	Age time.Duration `json:"age_ns"`
	// Continuous says that the publisher has heard the registry all along.
	Continuous bool `json:"certain,omitempty"`
	// MaxOrderAges tells how old the orders of roll-outs are at most when this is published, by
	// their key, where the publisher knows it.
	MaxOrderAges map[string]time.Duration `json:"order_ages_ns,omitempty"`
	// MinOrderAges tells how old they are at least.
	MinOrderAges map[string]time.Duration `json:"order_least_ages_ns,omitempty"`
}

// PublicationContent is what a publication tells. It is the same for all that
// have the same generation and tell what changed since the same one.
type PublicationContent struct {
	// Servers and Nodes are those that are there, or those that changed; GoneServers
	// and GoneNodes name those that went since.
	Servers     []Server `json:"servers,omitempty"`
	Nodes       []Node   `json:"nodes,omitempty"`
	GoneServers []string `json:"gone_servers,omitempty"`
	GoneNodes   []string `json:"gone_nodes,omitempty"`
	// Directives and GoneDirectives tell of directives in the same way.
	Directives     []Directive `json:"directives,omitempty"`
	GoneDirectives []string    `json:"gone_directives,omitempty"`
	// Table is missing in a publication of changes when it is the same.
	Table *route.Definition `json:"table,omitempty"`
}

// PublicationRequest is what a node asks another one with.
type PublicationRequest struct {
	// Known is what the asker has of the publisher already.
	Known Cursor
	// Position is up to where the asker knows the registry: what is older is of no use to it.
	Position Position
	// MaxAge is the greatest age that is of use; zero is any.
	MaxAge time.Duration
}

// PublicationFetcher asks other nodes for what they believe.
type PublicationFetcher interface {
	// Fetch returns what the node at the address believes: what changed since what
	// is known, if the node still knows, and else the whole. It fails when that is
	// of no use to the asker.
	Fetch(ctx context.Context, address string, inquiry PublicationRequest) (Publication, error)
}

// nodesPerReader is the number of nodes that one reader of the registry tells. Each of
// them asks every 1.6 s at most paces, which is 0.1 ms of the reader's processor; each
// reader costs a call to the registry for each change.
const nodesPerReader = 200

// hashOf orders nodes alike everywhere.
func hashOf(parts ...string) uint64 { return xxhash.Sum64String(strings.Join(parts, "\x00")) }

// selectReaders returns the nodes that read the registry, one for so many nodes, but
// two at least, and one that does so only while the other is not there. They are
// the most capable: a reader sends all that is long to all that ask it. All nodes
// that see the same members choose the same.
func selectReaders(nodes []Node) []Node {
	ranked := rankNodes(nodes)
	count := (len(ranked) + nodesPerReader - 1) / nodesPerReader
	return ranked[:min(len(ranked), count+1)]
}

// rankNodes lists the nodes that others may rely on, in the order in which duties fall
// to them: all that see the same members have the same order.
func rankNodes(nodes []Node) []Node {
	ranked := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Leaving || n.Suspect || n.Peer == "" })
	slices.SortFunc(ranked, compareRank)
	return ranked
}

// HighestRanked returns the first nodes, at most so many, in the order in which duties fall to
// nodes.
func HighestRanked(nodes []Node, most int) []Node {
	ranked := rankNodes(nodes)
	return ranked[:min(len(ranked), most)]
}

// readersToAsk returns the readers that a node asks, the first choice first; none
// when it reads the registry itself. The last of the readers is a reserve, which
// asks as the others do and reads when it finds no reader.
func readersToAsk(self string, nodes []Node) []Node {
	readers := selectReaders(nodes)
	active := readers[:max(len(readers)-1, 0)]
	if len(readers) == 1 {
		active = readers
	}
	for _, reader := range active {
		if reader.ID == self {
			return nil
		}
	}
	asked := slices.Clone(active)
	slices.SortFunc(asked, func(a, b Node) int { return cmp.Compare(hashOf(self, a.ID), hashOf(self, b.ID)) })
	if len(asked) == 1 && len(readers) == 2 && readers[1].ID != self {
		asked = append(asked, readers[1])
	}
	return asked[:min(len(asked), maxReadersTried)]
}

// Publish tells what the follower believes; it implements what Publishers ask.
// ok is false while nothing is known, or nothing that is of use to the asker.
func (f *Follower) Publish(inquiry PublicationRequest) (publication Publication, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	age, heard := f.view.Age(f.now())
	tooOld := inquiry.MaxAge > 0 && age > inquiry.MaxAge
	if !heard || f.table == nil || tooOld || f.position.Before(inquiry.Position) {
		return Publication{}, false
	}
	known := inquiry.Known
	// What changed does not tell what the registry has lost: an asker of another epoch is told all.
	sameEpoch := inquiry.Position.Epoch == f.position.Epoch
	if sameEpoch && known.Publisher == f.options.Self && f.history.covers(known.Generation) {
		publication = f.changesAfter(known.Generation)
	} else {
		definition := f.table.Definition()
		publication.Servers, publication.Nodes, publication.Table = f.published.Servers, f.published.Nodes, &definition
		publication.Directives = f.published.Directives
	}
	publication.Cursor = Cursor{Publisher: f.options.Self, Generation: f.history.latest}
	publication.Position = f.position
	publication.Age = age
	publication.Continuous = f.view.Continuous(f.now())
	publication.MaxOrderAges, publication.MinOrderAges = f.orderAges(f.view.Since), f.orderAges(f.view.Latest)
	return publication, true
}

// orderAges tells how long ago something of the orders of roll-outs was, where that is known. The
// lock is held.
func (f *Follower) orderAges(timeOf func(key string) (time.Duration, bool)) map[string]time.Duration {
	var ages map[string]time.Duration
	for _, directive := range f.published.Directives {
		at, known := timeOf(directive.Key())
		if directive.Kind != RollOut || !known {
			continue
		}
		if ages == nil {
			ages = make(map[string]time.Duration)
		}
		ages[directive.Key()] = f.now() - at
	}
	return ages
}

// changesAfter tells what changed after a generation, as it is now. The lock is held.
func (f *Follower) changesAfter(generation uint64) Publication {
	changed := f.history.after(generation)
	var publication Publication
	publication.Since = generation
	publication.Servers, publication.GoneServers = f.published.lookupServers(changed)
	publication.Nodes, publication.GoneNodes = f.published.lookupNodes(changed)
	publication.Directives, publication.GoneDirectives = f.published.lookupDirectives(changed)
	if changed.table {
		definition := f.table.Definition()
		publication.Table = &definition
	}
	return publication
}

// lookupServers looks up the servers that changed; those that are not there went.
func (n ClusterState) lookupServers(changed generationChanges) (servers []Server, gone []string) {
	return lookup(n.Servers, Server.key, changed.servers, changed.goneServers)
}

func (n ClusterState) lookupNodes(changed generationChanges) (nodes []Node, gone []string) {
	return lookup(n.Nodes, Node.key, changed.nodes, changed.goneNodes)
}

func (n ClusterState) lookupDirectives(changed generationChanges) (directives []Directive, gone []string) {
	return lookup(n.Directives, Directive.Key, changed.directives, changed.goneDirectives)
}

func lookup[T any](all []T, key func(T) string, changed, went []string) (found []T, gone []string) {
	wanted := slices.Concat(changed, went)
	slices.Sort(wanted)
	for _, id := range slices.Compact(wanted) {
		place, there := slices.BinarySearchFunc(all, id, func(one T, id string) int { return cmp.Compare(key(one), id) })
		if there {
			found = append(found, all[place])
		} else {
			gone = append(gone, id)
		}
	}
	return found, gone
}

// adoptPublication believes what a reader does, unless that is too old.
func (f *Follower) adoptPublication(reader string, publication Publication) error {
	mark := f.cursorFor(reader)
	if publication.Since > 0 && (publication.Publisher != mark.Publisher || publication.Since != mark.Generation) {
		f.lastPublisher = ""
		return ErrStale
	}
	known := f.knownPosition()
	if publication.Age > f.options.StaleAfter || publication.Before(known) {
		return ErrStale
	}
	if publication.Since > 0 && publication.Epoch != known.Epoch {
		f.lastPublisher = ""
		return ErrStale
	}
	if err := f.applyPublication(publication); err != nil {
		return err
	}
	f.lastPublisher, f.cursor = reader, publication.Cursor
	return nil
}

// applyPublication takes a publication in, as heard when its publisher heard it.
func (f *Follower) applyPublication(publication Publication) error {
	heardAt := f.now() - publication.Age
	changes, err := publication.changes()
	if err != nil {
		return err
	}
	if publication.Since == 0 {
		f.applyListing(heardAt, changes)
	} else {
		f.applyChanges(heardAt, changes)
	}
	return nil
}

// changes are what a publication tells, as of its revision.
func (p Publication) changes() (Changes, error) {
	changes := Changes{Epoch: p.Epoch, Revision: p.Revision, Continuous: p.Continuous, MaxOrderAges: p.MaxOrderAges, MinOrderAges: p.MinOrderAges, Relayed: true}
	if p.Table != nil {
		table, err := route.New(*p.Table)
		if err != nil {
			return Changes{}, err
		}
		changes.Table = table
	}
	for _, server := range p.Servers {
		changes.Servers = append(changes.Servers, Entry[Server]{ID: server.ID, Revision: p.Revision, Value: server})
	}
	for _, node := range p.Nodes {
		changes.Nodes = append(changes.Nodes, Entry[Node]{ID: node.ID, Revision: p.Revision, Value: node})
	}
	for _, id := range p.GoneServers {
		changes.Servers = append(changes.Servers, Entry[Server]{ID: id, Revision: p.Revision, Gone: true})
	}
	for _, id := range p.GoneNodes {
		changes.Nodes = append(changes.Nodes, Entry[Node]{ID: id, Revision: p.Revision, Gone: true})
	}
	for _, directive := range p.Directives {
		changes.Directives = append(changes.Directives, Entry[Directive]{ID: directive.Key(), Revision: p.Revision, Value: directive})
	}
	for _, key := range p.GoneDirectives {
		changes.Directives = append(changes.Directives, Entry[Directive]{ID: key, Revision: p.Revision, Gone: true})
	}
	return changes, nil
}
