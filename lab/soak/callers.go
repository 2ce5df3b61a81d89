package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/platform/standin"
)

const (
	// callerCount callers, one a zone, send a request every callerGap on average.
	callerCount = zoneCount
	callerGap   = 60 * time.Millisecond
	// lookUpGap is the time between two look-ups of where to connect.
	lookUpGap     = time.Second
	lookUpTimeout = time.Second
	// deadline is how long a caller waits, and patience how much longer it listens on, to see
	// whether an answer comes late.
	deadline = 1200 * time.Millisecond
	patience = 2 * time.Second
	// leaveShare is the part of the requests that callers give up early, after leaveAfter.
	leaveShare = 0.03
	leaveAfter = 30 * time.Millisecond
	// probeGap is the time between two probes of a node for the configuration in force.
	probeGap = 150 * time.Millisecond
	// lookUpPath is what a look-up asks for.
	lookUpPath = standin.ResolvePath + "?name=" + host + "&region=" + standin.Region + "&zone="
)

// Services under which the history keeps the routes.
const (
	searchService = "search"
	singleService = "single"
)

// caller sends requests from one zone.
type caller struct {
	fleet  *fleet
	zone   string
	random *rand.Rand
	http   *http.Client
	// pending are the requests on their way.
	pending sync.WaitGroup

	mutex sync.Mutex
	// mutex guards the fields below.
	known []string // hosts of nodes that the last look-up named
}

func (f *fleet) newCaller(number int) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	transport.DialContext = (&net.Dialer{Timeout: time.Second}).DialContext
	return &caller{
		fleet: f, zone: f.layout.Zones[number%len(f.layout.Zones)], http: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(f.options.Seed, uint64(number))),
	}
}

// run sends requests until ctx ends, and waits for the answers.
func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.pending.Wait()
	looked := time.Time{}
	for ctx.Err() == nil {
		if time.Since(looked) >= lookUpGap {
			looked = time.Now()
			nodes := c.fleet.allNodes()
			from := nodes[c.random.IntN(len(nodes))]
			c.pending.Go(func() { c.lookUp(from) })
		}
		if to, path, found := c.draw(); found {
			leaves := c.random.Float64() < leaveShare
			c.pending.Go(func() { c.send(to, path, leaves) })
		}
		if clock.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(callerGap))) != nil {
			return
		}
	}
}

// lookUp asks a node where to connect.
func (c *caller) lookUp(from *node) {
	ctx, cancel := context.WithTimeout(context.Background(), lookUpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s%s", from.host, directoryPort, lookUpPath, c.zone), nil)
	if err != nil {
		return // an address that can't be asked answers nothing either
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return // the next look-up asks another node
	}
	defer func() { _ = reply.Body.Close() }()
	var told standin.ResolveResponse
	if json.NewDecoder(reply.Body).Decode(&told) != nil || len(told.Addresses) == 0 {
		return
	}
	hosts := make([]string, 0, len(told.Addresses))
	for _, address := range told.Addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			hosts = append(hosts, host)
		}
	}
	c.mutex.Lock()
	c.known = hosts
	c.mutex.Unlock()
}

// draw picks a node that the look-up named, and a route.
func (c *caller) draw() (to *node, path string, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.known) == 0 {
		return nil, "", false
	}
	named := c.known[c.random.IntN(len(c.known))]
	nodes := c.fleet.allNodes()
	place := slices.IndexFunc(nodes, func(n *node) bool { return n.host == named })
	if place < 0 {
		return nil, "", false
	}
	return nodes[place], paths[c.random.IntN(len(paths))], true
}

// send sends one request and records it with its answer.
func (c *caller) send(to *node, path string, leaves bool) {
	call := history.Call{
		RequestID: c.fleet.nextRequest(), Node: to.name, Service: singleService, Class: path,
		Repeatable: path != enterPath, Deadline: deadline, Abandoned: leaves,
	}
	if path == searchPath {
		call.Service, call.MinimumCoverage = searchService, leastCoverage
	}
	id := c.fleet.recorder.Call(call)
	patient := deadline + patience
	if leaves {
		patient = leaveAfter
	}
	answer := c.fleet.ask(c.http, to, path, call.RequestID, patient)
	answer.Call = id
	c.fleet.recorder.Answer(answer)
}

// nextRequest names the next request.
func (f *fleet) nextRequest() string {
	return fmt.Sprintf("%d-%d", f.options.Seed, f.requests.Add(1))
}

// ask sends a request and reads its answer.
func (f *fleet) ask(client *http.Client, to *node, path, id string, patient time.Duration) history.Answer {
	return f.askFor(client, to, path, path+id, id, id, patient)
}

// askFor does the same with a target and a body that don't depend on the request's name.
func (f *fleet) askFor(client *http.Client, to *node, path, asked, sent, id string, patient time.Duration) history.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	target := url.URL{Scheme: "http", Host: net.JoinHostPort(to.host, strconv.Itoa(callersPort)), Path: asked}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), strings.NewReader(sent))
	if err != nil {
		return history.AnswerFromError(err)
	}
	request.Host = host
	request.Header.Set(standin.AttemptIDHeader, id)
	request.Header.Set(standin.TimeoutHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	reply, err := client.Do(request)
	if err != nil {
		return history.AnswerFromError(err)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return history.AnswerFromError(err)
	}
	return parse(path, id, reply, body)
}

// parse reads a node's answer.
func parse(path, id string, reply *http.Response, body []byte) history.Answer {
	switch reply.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionNotRun, Detail: reply.Status}
	case http.StatusNotFound:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionNotRun, Reason: noRoute}
	default:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionUnknown, Detail: reply.Status}
	}
	answer := history.Answer{Kind: history.AnswerResult, Execution: history.ExecutionDone, RequestID: id}
	if path == searchPath {
		parseMerged(&answer, reply.Header, body)
		return answer
	}
	answer.RequestID = reply.Header.Get(standin.AttemptIDHeader)
	part := partOf(reply.Header.Get(standin.StampHeader))
	part.Range = single
	part.ContentMatches = bytes.Equal(body, standin.Records(ledger))
	answer.Parts, answer.Coverage, answer.Complete = []history.Part{part}, 1, true
	return answer
}

// noRoute is the reason of an answer that no route fits.
const noRoute = "no_route"

// single is what a single request covers.
var single = coverage.Range{Start: 0, End: 1}

// parseMerged reads an answer of many parts.
func parseMerged(answer *history.Answer, header http.Header, body []byte) {
	missing, err := strconv.Atoi(header.Get(standin.MissingPartsHeader))
	if err != nil {
		answer.Detail = err.Error()
	}
	answer.Coverage, answer.Complete = float64(shardCount-missing)/shardCount, missing == 0
	covered := make([]bool, shardCount)
	var records []byte
	stamps := strings.FieldsFunc(strings.Join(header.Values(standin.PartStampsHeader), ","), func(r rune) bool { return r == ',' || r == ' ' })
	for _, stamp := range stamps {
		part := partOf(stamp)
		set, shard := placeOf(part.Server)
		part.Range, part.Snapshot = rangeOf(shard), uint64(set)
		answer.Snapshot = max(answer.Snapshot, part.Snapshot)
		if shard < shardCount {
			covered[shard] = true
		}
		records = append(records, wholeRecords(standin.Records(shardName(set, shard)))...)
		answer.Parts = append(answer.Parts, part)
	}
	isWhole := bytes.Equal(body, greatest(records, topRecords))
	for place := range answer.Parts {
		answer.Parts[place].ContentMatches = isWhole
	}
	for shard, is := range covered {
		if !is {
			answer.Missing = append(answer.Missing, rangeOf(shard))
		}
	}
}

// rangeOf is the part of a search's keys that a shard stands for.
func rangeOf(shard int) coverage.Range {
	return coverage.Range{Start: uint64(shard), End: uint64(shard) + 1}
}

// partOf reads a stamp: the service, the server and the request.
func partOf(stamp string) history.Part {
	fields := strings.SplitN(stamp, "/", 3)
	if len(fields) < 3 {
		return history.Part{Server: stamp}
	}
	return history.Part{Server: fields[1], RequestID: fields[2]}
}

// placeOf is the set and the number of a server's shard, from its name; zero and the number
// of shards if it is that of no shard.
func placeOf(server string) (set, shard int) {
	if _, err := fmt.Sscanf(server, "shard-%d-%d-", &set, &shard); err != nil || shard < 0 || shard >= shardCount {
		return 0, shardCount
	}
	return set, shard
}

// recordBytes is the length of a record.
const recordBytes = 16

// wholeRecords leaves out a remainder that is no record.
func wholeRecords(data []byte) []byte { return data[:len(data)-len(data)%recordBytes] }

// greatest are the greatest records, falling.
func greatest(records []byte, count int) []byte {
	sorted := slices.Collect(slices.Chunk(records, recordBytes))
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(sorted[:min(count, len(sorted))]...)
}

// probe asks a node, again and again until ctx ends, which configuration is in force.
func (f *fleet) probe(ctx context.Context, n *node) {
	p := &prober{fleet: f, node: n, http: &http.Client{Transport: &http.Transport{IdleConnTimeout: 5 * time.Second}}}
	defer p.http.CloseIdleConnections()
	for clock.Sleep(ctx, probeGap) == nil {
		p.look()
	}
}

// prober finds the version that a node has in force, by the routes that single versions add.
type prober struct {
	fleet *fleet
	node  *node
	http  *http.Client
	// process is the one that reached a version, and byTable says that it has answered by one.
	process *process
	reached int
	byTable bool
}

// look finds the newest version in force; one that was in force must be still.
func (p *prober) look() {
	process := p.node.current()
	if process == nil {
		return
	}
	if process != p.process {
		p.process, p.reached, p.byTable = process, 0, false
	}
	newest := p.fleet.newestVersion()
	first := max(p.reached, newest-markersKept+1)
	low, high := first, newest
	for low < high { // the first version that is not in force lies in (low, high+1]
		middle := (low + high + 1) / 2
		is, known := p.inForce(middle)
		if !known || p.node.current() != process {
			return
		}
		if is {
			p.found(middle)
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low == first {
		is, known := p.inForce(low)
		if !known || p.node.current() != process {
			return
		}
		if !is && low > p.reached {
			return // an older one than can be told, or none
		}
		if !is && p.fleet.newestVersion()-low < markersKept-1 {
			p.note(low - 1) // it was in force, and is not any more
			return
		}
	}
	p.found(low)
}

// found notes a version that is in force.
func (p *prober) found(version int) {
	p.reached = version
	p.note(version)
}

func (p *prober) note(version int) {
	seen := history.InForce{Node: p.node.name, Revision: uint64(version), At: p.fleet.recorder.Now()}
	p.fleet.recorder.Update(func(h *history.History) { h.InForce = append(h.InForce, seen) })
}

// inForce asks for the route of a version; known is that the node told. Between two answers by a
// table a refusal tells that the route is there: the table says so where it is not.
func (p *prober) inForce(version int) (is, known bool) {
	answer := p.ask(markerPath(version))
	switch {
	case answer.Reason == noRoute:
		p.byTable = true
		return false, true
	case answer.Kind == history.AnswerResult || answer.Execution == history.ExecutionUnknown && answer.Kind == history.AnswerRefusal:
		p.byTable = true
		return true, true
	case answer.Kind == history.AnswerRefusal:
		before := p.byTable
		p.byTable = p.ask(markerPath(neverWritten)).Reason == noRoute
		return true, before && p.byTable
	default:
		return false, false // no answer, or one that may come before any configuration is known
	}
}

// neverWritten is a version that no configuration has.
const neverWritten = 0

// ask sends a request to the node and records it with its answer.
func (p *prober) ask(path string) history.Answer {
	call := history.Call{
		RequestID: p.fleet.nextRequest(), Node: p.node.name, Service: singleService, Class: path, Repeatable: true, Abandoned: true,
	}
	id := p.fleet.recorder.Call(call)
	answer := p.fleet.ask(p.http, p.node, call.Class, call.RequestID, deadline)
	answer.Call = id
	p.fleet.recorder.Answer(answer)
	return answer
}
