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
	// callerCount callers, one per zone, send requests at random intervals with a mean of
	// meanRequestInterval.
	callerCount         = zoneCount
	meanRequestInterval = 60 * time.Millisecond
	// lookUpInterval is the time between two look-ups of node addresses in the directory.
	lookUpInterval = time.Second
	lookUpTimeout  = time.Second
	// requestTimeout is the deadline that callers send. They wait lateAnswerTimeout longer, so that
	// an answer after the deadline is recorded as late.
	requestTimeout    = 1200 * time.Millisecond
	lateAnswerTimeout = 2 * time.Second
	// abandonedShare is the share of requests that callers abandon after abandonAfter.
	abandonedShare = 0.03
	abandonAfter   = 30 * time.Millisecond
	// probeInterval is the time between two probes of a node for its configuration in force.
	probeInterval = 150 * time.Millisecond
	// lookUpPath is the request target of a look-up, without the zone.
	lookUpPath = standin.ResolvePath + "?name=" + host + "&region=" + standin.Region + "&zone="
)

// Services to which the history assigns the calls.
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
	// pending counts the requests in flight.
	pending sync.WaitGroup

	mutex sync.Mutex
	// mutex guards the fields below.
	knownHosts []string // hosts of the nodes in the last look-up's answer
}

func (f *fleet) newCaller(number int) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	transport.DialContext = (&net.Dialer{Timeout: time.Second}).DialContext
	return &caller{
		fleet: f, zone: f.layout.Zones[number%len(f.layout.Zones)], http: &http.Client{Transport: transport},
		random: rand.New(rand.NewPCG(f.options.Seed, uint64(number))),
	}
}

// run sends requests until ctx ends, and then waits for their answers.
func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.pending.Wait()
	lastLookUp := time.Time{}
	for ctx.Err() == nil {
		if time.Since(lastLookUp) >= lookUpInterval {
			lastLookUp = time.Now()
			nodes := c.fleet.allNodes()
			from := nodes[c.random.IntN(len(nodes))]
			c.pending.Go(func() { c.lookUp(from) })
		}
		if target, path, found := c.pickTarget(); found {
			abandon := c.random.Float64() < abandonedShare
			c.pending.Go(func() { c.send(target, path, abandon) })
		}
		if clock.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanRequestInterval))) != nil {
			return
		}
	}
}

// lookUp asks a node's directory for the addresses to connect to.
func (c *caller) lookUp(from *node) {
	ctx, cancel := context.WithTimeout(context.Background(), lookUpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s%s", from.host, directoryPort, lookUpPath, c.zone), nil)
	if err != nil {
		return // an invalid address counts as one that does not answer
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return // the next look-up asks another node
	}
	defer func() { _ = reply.Body.Close() }()
	var response standin.ResolveResponse
	if json.NewDecoder(reply.Body).Decode(&response) != nil || len(response.Addresses) == 0 {
		return
	}
	hosts := make([]string, 0, len(response.Addresses))
	for _, address := range response.Addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			hosts = append(hosts, host)
		}
	}
	c.mutex.Lock()
	c.knownHosts = hosts
	c.mutex.Unlock()
}

// pickTarget picks a random node from the last look-up's answer, and a random route.
func (c *caller) pickTarget() (target *node, path string, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.knownHosts) == 0 {
		return nil, "", false
	}
	hostName := c.knownHosts[c.random.IntN(len(c.knownHosts))]
	nodes := c.fleet.allNodes()
	index := slices.IndexFunc(nodes, func(n *node) bool { return n.host == hostName })
	if index < 0 {
		return nil, "", false
	}
	return nodes[index], paths[c.random.IntN(len(paths))], true
}

// send sends one request and records the call and its answer.
func (c *caller) send(target *node, path string, abandon bool) {
	call := history.Call{
		RequestID: c.fleet.nextRequestID(), Node: target.name, Service: singleService, Class: path,
		Repeatable: path != enterPath, Deadline: requestTimeout, Abandoned: abandon,
	}
	if path == searchPath {
		call.Service, call.MinimumCoverage = searchService, minimumCoverage
	}
	id := c.fleet.recorder.Call(call)
	timeout := requestTimeout + lateAnswerTimeout
	if abandon {
		timeout = abandonAfter
	}
	answer := c.fleet.sendRequest(c.http, target, path, call.RequestID, timeout)
	answer.Call = id
	c.fleet.recorder.Answer(answer)
}

// nextRequestID returns a request ID that is unique within the soak.
func (f *fleet) nextRequestID() string {
	return fmt.Sprintf("%d-%d", f.options.Seed, f.requests.Add(1))
}

// sendRequest sends a request whose target and body contain its ID, and returns the answer.
func (f *fleet) sendRequest(client *http.Client, target *node, path, id string, timeout time.Duration) history.Answer {
	return f.sendRequestTo(client, target, path, path+id, id, id, requestTimeout, timeout)
}

// sendRequestTo sends a request with the given target and body, which need not contain its ID, and
// returns the answer. It tells the node the deadline and waits until the timeout.
func (f *fleet) sendRequestTo(client *http.Client, target *node, path, requestPath, requestBody, id string, deadline, timeout time.Duration) history.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	address := url.URL{Scheme: "http", Host: net.JoinHostPort(target.host, strconv.Itoa(callersPort)), Path: requestPath}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address.String(), strings.NewReader(requestBody))
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
	return parseAnswer(path, id, reply, body)
}

// parseAnswer converts a node's HTTP response to an answer of the history.
func parseAnswer(path, id string, reply *http.Response, body []byte) history.Answer {
	switch reply.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionNotRun, Detail: reply.Status}
	case http.StatusNotFound:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionNotRun, Reason: reasonNoRoute}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionNotRun, Reason: reasonInvalid, Detail: reply.Status}
	default:
		return history.Answer{Kind: history.AnswerRefusal, Execution: history.ExecutionUnknown, Detail: reply.Status}
	}
	answer := history.Answer{Kind: history.AnswerResult, Execution: history.ExecutionDone, RequestID: id}
	if path == searchPath {
		parseMerged(&answer, reply.Header, body)
		return answer
	}
	answer.RequestID = reply.Header.Get(standin.AttemptIDHeader)
	part := parseStamp(reply.Header.Get(standin.StampHeader))
	part.Range = singleRange
	part.ContentMatches = bytes.Equal(body, standin.Records(ledgerService))
	answer.Parts, answer.Coverage, answer.Complete = []history.Part{part}, 1, true
	return answer
}

const (
	// reasonNoRoute is the reason of an answer to a request that no route matches.
	reasonNoRoute = "no_route"
	// reasonInvalid is the reason of an answer that says that the request is invalid or too large.
	reasonInvalid = "invalid"
)

// singleRange is the key range that a single request covers.
var singleRange = coverage.Range{Start: 0, End: 1}

// parseMerged reads a response that is merged from the parts of several shards.
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
		part := parseStamp(stamp)
		set, shard := parseShard(part.Server)
		part.Range, part.Snapshot = shardRange(shard), uint64(set)
		answer.Snapshot = max(answer.Snapshot, part.Snapshot)
		if shard < shardCount {
			covered[shard] = true
		}
		records = append(records, trimPartialRecord(standin.Records(shardName(set, shard)))...)
		answer.Parts = append(answer.Parts, part)
	}
	contentMatches := bytes.Equal(body, greatestRecords(records, topRecords))
	for index := range answer.Parts {
		answer.Parts[index].ContentMatches = contentMatches
	}
	for shard, isCovered := range covered {
		if !isCovered {
			answer.Missing = append(answer.Missing, shardRange(shard))
		}
	}
}

// shardRange returns the key range of a shard.
func shardRange(shard int) coverage.Range {
	return coverage.Range{Start: uint64(shard), End: uint64(shard) + 1}
}

// parseStamp reads a stamp of the form service/server/request.
func parseStamp(stamp string) history.Part {
	fields := strings.SplitN(stamp, "/", 3)
	if len(fields) < 3 {
		return history.Part{Server: stamp}
	}
	return history.Part{Server: fields[1], RequestID: fields[2]}
}

// parseShard returns the set and the shard number from the name of a shard server, and zero and
// shardCount for any other name.
func parseShard(server string) (set, shard int) {
	if _, err := fmt.Sscanf(server, "shard-%d-%d-", &set, &shard); err != nil || shard < 0 || shard >= shardCount {
		return 0, shardCount
	}
	return set, shard
}

// recordBytes is the length of a record.
const recordBytes = 16

// trimPartialRecord removes an incomplete record from the end.
func trimPartialRecord(data []byte) []byte { return data[:len(data)-len(data)%recordBytes] }

// greatestRecords returns the greatest records in descending order, count at most.
func greatestRecords(records []byte, count int) []byte {
	sorted := slices.Collect(slices.Chunk(records, recordBytes))
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(sorted[:min(count, len(sorted))]...)
}

// probeNode probes a node for its configuration in force until ctx ends.
func (f *fleet) probeNode(ctx context.Context, n *node) {
	p := &prober{fleet: f, node: n, http: &http.Client{Transport: &http.Transport{IdleConnTimeout: 5 * time.Second}}}
	defer p.http.CloseIdleConnections()
	for clock.Sleep(ctx, probeInterval) == nil {
		p.probe()
	}
}

// prober finds the configuration version in force at a node. Each version adds a marker route, so a
// version is in force if its marker route exists.
type prober struct {
	fleet *fleet
	node  *node
	http  *http.Client
	// process is the process to which the fields below refer. answeredFromTable is set if its last
	// conclusive answer came from a route table.
	process           *process
	newestInForce     int
	answeredFromTable bool
}

// probe searches for the newest version in force by bisection. A version that was in force before
// must still be.
func (p *prober) probe() {
	process := p.node.current()
	if process == nil {
		return
	}
	if process != p.process {
		p.process, p.newestInForce, p.answeredFromTable = process, 0, false
	}
	newest := p.fleet.newestVersion()
	first := max(p.newestInForce, newest-maxMarkers+1)
	low, high := first, newest
	for low < high { // the first version that is not in force lies in (low, high+1]
		middle := (low + high + 1) / 2
		active, known := p.inForce(middle)
		if !known || p.node.current() != process {
			return
		}
		if active {
			p.setInForce(middle)
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low == first {
		active, known := p.inForce(low)
		if !known || p.node.current() != process {
			return
		}
		if !active && low > p.newestInForce {
			return // the version in force is older than the oldest marker route, or there is none
		}
		if !active && p.fleet.newestVersion()-low < maxMarkers-1 {
			p.recordInForce(low - 1) // the version was in force and no longer is
			return
		}
	}
	p.setInForce(low)
}

// setInForce records a version that is in force.
func (p *prober) setInForce(version int) {
	p.newestInForce = version
	p.recordInForce(version)
}

func (p *prober) recordInForce(version int) {
	seen := history.InForce{Node: p.node.name, Revision: uint64(version), At: p.fleet.recorder.Now()}
	p.fleet.recorder.Update(func(h *history.History) { h.InForce = append(h.InForce, seen) })
}

// inForce requests the marker route of a version; known is false if the answer is inconclusive. A
// rejection between two answers from a route table shows that the route exists, because the table
// answers "no route" otherwise.
func (p *prober) inForce(version int) (active, known bool) {
	answer := p.sendRequest(markerPath(version))
	switch {
	case answer.Reason == reasonNoRoute:
		p.answeredFromTable = true
		return false, true
	case answer.Kind == history.AnswerResult || answer.Execution == history.ExecutionUnknown && answer.Kind == history.AnswerRefusal:
		p.answeredFromTable = true
		return true, true
	case answer.Kind == history.AnswerRefusal:
		answeredBefore := p.answeredFromTable
		p.answeredFromTable = p.sendRequest(markerPath(unwrittenVersion)).Reason == reasonNoRoute
		return true, answeredBefore && p.answeredFromTable
	default:
		return false, false // no answer, or one that may precede the first configuration
	}
}

// unwrittenVersion is a version that no configuration has.
const unwrittenVersion = 0

// sendRequest sends a request to the node and records the call and its answer.
func (p *prober) sendRequest(path string) history.Answer {
	call := history.Call{
		RequestID: p.fleet.nextRequestID(), Node: p.node.name, Service: singleService, Class: path, Repeatable: true, Abandoned: true,
	}
	id := p.fleet.recorder.Call(call)
	answer := p.fleet.sendRequest(p.http, p.node, call.Class, call.RequestID, requestTimeout)
	answer.Call = id
	p.fleet.recorder.Answer(answer)
	return answer
}
