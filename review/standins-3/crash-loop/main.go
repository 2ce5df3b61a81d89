// Command crash-loop plays case 8: the servers of a service crash several times in a row while sound
// requests run there, and are well again. All processes of the system are killed later. It checks that
// the requests are served again.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
	"github.com/banksail/banksail/review/standins-3/fleet"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

const (
	host = "hall.example"
	// deadline is that of tsb-search's notice-fetch, and memoryMB the memory of a machine there.
	deadline = 15 * time.Second
	memoryMB = 284
	// reportTime is how long a server works on a report.
	reportTime = 4 * time.Second
	// accounts is the number of callers. Each asks for the report of its own account, each period.
	accounts = 6
	period   = 5 * time.Second
	// The servers crash crashes times, each crashPeriod, for crashTime.
	crashes     = 5
	crashPeriod = 4500 * time.Millisecond
	crashTime   = 2 * time.Second
	// Times since the start of the traffic. All processes are killed at faultAt, and are back after
	// downTime. Requests sent later than recoveryTime after that count, until endAt.
	crashesAt    = 25 * time.Second
	faultAt      = 51 * time.Second
	downTime     = time.Second
	recoveryTime = 12 * time.Second
	endAt        = 95 * time.Second
	// minServedShare is the share of the rule.
	minServedShare = 0.25
)

// request is one request of a caller: its first try and one more.
type request struct {
	sent   time.Duration
	served bool
}

type play struct {
	record  *fleet.Record
	store   *standin.Store
	nodes   []*fleet.Node
	servers []*fleet.ServerProcess
	start   time.Time

	mutex    sync.Mutex
	requests []request
}

func main() { os.Exit(run()) }

func run() int {
	record, err := fleet.OpenRecord("review/8/record.txt")
	if err != nil {
		return cannotRun(err)
	}
	folder, err := os.MkdirTemp("", "case-8-")
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	p := &play{record: record, store: standin.NewStore()}
	defer p.close()
	if err := p.startAll(folder); err != nil {
		return cannotRun(err)
	}
	for _, node := range p.nodes {
		if !node.AwaitReady(10 * time.Second) {
			return cannotRun(fmt.Errorf("%s is not ready", node.Settings.Name))
		}
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("all nodes are ready; trouble: %t", trouble)
	p.play(trouble)
	p.recordRuns()
	return p.judge()
}

func cannotRun(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "case 8 cannot run:", err)
	return exitCannotRun
}

func (p *play) close() {
	for _, node := range p.nodes {
		node.Close()
	}
	for _, server := range p.servers {
		server.Close()
	}
}

func (p *play) startAll(folder string) error {
	listener, err := net.Listen("tcp", fleet.Host+":0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: p.store}).Serve(listener) }() // ends with the process
	zones := []string{"worcester-hall", "lowell-hall"}
	ports, err := fleet.FreePorts(3)
	if err != nil {
		return err
	}
	for number, port := range ports {
		server := &fleet.ServerProcess{
			ID: standin.ServerName("ledger", number), Service: "ledger", Zone: zones[number%len(zones)], Address: fleet.Address(port),
			Work: reportTime, Capacity: 3, Store: p.store, Record: p.record, Folder: folder,
		}
		p.servers = append(p.servers, server)
		if err := server.Start(); err != nil {
			return err
		}
	}
	p.store.PutConfig(standin.Config{
		Version: 1,
		Routes: []standin.Route{{
			Name: "fee-report", Host: host, PathPrefix: "/report/", Type: standin.Repeatable, TimeoutMS: deadline.Milliseconds(),
			TargetLatencyMS: (2 * reportTime).Milliseconds(), Priority: 2, MaxAttempts: 2, Service: "ledger",
		}},
		Services: []standin.ServiceConfig{{Name: "ledger", HealthPath: standin.HealthPath, MaxConnections: 110}},
	})
	return p.startNodes(listener.Addr().String(), folder, zones)
}

func (p *play) startNodes(store, folder string, zones []string) error {
	var ports []fleet.Ports
	var seeds []string
	for range zones {
		free, err := fleet.NewPorts()
		if err != nil {
			return err
		}
		ports, seeds = append(ports, free), append(seeds, fleet.Address(free.Control))
	}
	for number, zone := range zones {
		settings := fleet.Settings{Name: "front-" + zone + "-1", Zone: zone, Zones: zones, Store: store, Seeds: seeds, MemoryMB: memoryMB}
		node := fleet.NewNode(settings, ports[number], folder, p.record)
		p.nodes = append(p.nodes, node)
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// play plays the callers, the crashes of the servers and the final fault.
func (p *play) play(trouble bool) {
	p.start = time.Now()
	ctx, stop := context.WithTimeout(context.Background(), endAt)
	defer stop()
	var all sync.WaitGroup
	for account := range accounts {
		all.Go(func() { p.askForReports(ctx, account) })
	}
	if trouble {
		all.Go(p.crashServers)
	}
	all.Go(p.killNodes)
	all.Wait()
}

// crashServers crashes all servers of the service, several times.
func (p *play) crashServers() {
	for number := range crashes {
		time.Sleep(time.Until(p.start.Add(crashesAt + time.Duration(number)*crashPeriod)))
		for _, server := range p.servers {
			server.Kill()
		}
		time.Sleep(crashTime)
		for _, server := range p.servers {
			if err := server.Start(); err != nil {
				p.record.Printf("%s: %s", server.ID, err)
			}
		}
	}
}

// killNodes is the final fault.
func (p *play) killNodes() {
	time.Sleep(time.Until(p.start.Add(faultAt)))
	p.record.Printf("the final fault: all processes of the system are killed")
	for _, node := range p.nodes {
		node.Kill()
	}
	time.Sleep(downTime)
	for _, node := range p.nodes {
		if err := node.Start(); err != nil {
			p.record.Printf("%s: %s", node.Settings.Name, err)
		}
	}
}

// askForReports asks for the report of one account, again and again.
func (p *play) askForReports(ctx context.Context, account int) {
	first := p.start.Add(time.Duration(account) * period / accounts)
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(first.Add(time.Duration(number) * period))):
		}
		sent := time.Since(p.start)
		served := p.ask(ctx, account, number)
		if ctx.Err() != nil && !served {
			return // cut short by the end of the play
		}
		p.mutex.Lock()
		p.requests = append(p.requests, request{sent: sent, served: served})
		p.mutex.Unlock()
	}
}

// ask sends a request and, after a failure, one retry on a new connection. It reports whether the
// request was served.
func (p *play) ask(ctx context.Context, account, number int) bool {
	begin := time.Now()
	for try := range 2 {
		id := fmt.Sprintf("a%d-%d-%d", account, number, try)
		left := deadline - time.Since(begin)
		status, retryAfter, err := p.send(ctx, fmt.Sprintf("/report/%d", account), id, left)
		p.record.Printf("attempt %s for /report/%d: status %d, Retry-After %s, error %v", id, account, status, retryAfter, err)
		if status == http.StatusOK {
			return true
		}
		left = deadline - time.Since(begin)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(retryAfter, left/3)):
		}
	}
	return false
}

// send sends one attempt to a node chosen at random. The status is zero after an error.
func (p *play) send(ctx context.Context, path, id string, left time.Duration) (status int, retryAfter time.Duration, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: left}
	node := p.nodes[rand.IntN(len(p.nodes))]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fleet.Address(node.Ports.Callers)+path, nil)
	if err != nil {
		return 0, 0, err
	}
	request.Host = host
	request.Header.Set(standin.AttemptIDHeader, id)
	request.Header.Set(standin.TimeoutHeader, strconv.FormatInt(left.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0, err
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // zero if there is none
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

// recordRuns adds what the servers ran to the record.
func (p *play) recordRuns() {
	for _, server := range p.servers {
		file, err := os.Open(server.RunsFile())
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			p.record.Printf("%s: %s", server.ID, lines.Text())
		}
		_ = file.Close()
	}
	for _, key := range p.store.Keys("quarantine/") {
		p.record.Printf("the store holds %s", key)
	}
}

// judge applies the rule and returns the exit code.
func (p *play) judge() int {
	count := func(name string, from, until time.Duration) float64 {
		all := slices.DeleteFunc(slices.Clone(p.requests), func(r request) bool { return r.sent < from || r.sent >= until })
		served := len(slices.DeleteFunc(slices.Clone(all), func(r request) bool { return !r.served }))
		p.record.Printf("%s: %d requests sent, %d served", name, len(all), served)
		return float64(served) / float64(max(len(all), 1))
	}
	before := count("before the final fault", 0, faultAt)
	after := count("later than recovery_s after the machines are back", faultAt+downTime+recoveryTime, endAt)
	if before >= minServedShare && after < minServedShare {
		p.record.Printf("BROKEN: less than a quarter is served after the final fault, and a quarter or more was before it")
		return exitBroken
	}
	p.record.Printf("HELD")
	return exitHeld
}
