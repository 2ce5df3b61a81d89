// Command large-bodies plays case 7: clients send many large bodies of legal size, whole, on a route
// whose requests must not be repeated. It checks that the nodes stay within the memory of their
// machines. It plays the platform, which kills a process over its memory and starts it again.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
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
	// memoryMB is the memory of a machine of tsb-search.
	memoryMB = 284
	// bodyBytes is the limit on bodies in the configuration of the stand-in, which is that of the
	// site file.
	bodyBytes = 262144
	// deadline is the deadline of tsb-search's notice-fetch.
	deadline = 15 * time.Second
	// crowdPerSecond is the number of large bodies that one node gets in a second, on
	// crowdConnections connections: 26 MB, a fifth of the machine's link.
	crowdPerSecond   = 100
	crowdConnections = 20
	// crowdTime is how long the crowd sends, and calmTime how long ordinary callers are alone
	// before it.
	crowdTime = 75 * time.Second
	calmTime  = 5 * time.Second
	// ordinaryInterval is the time between two requests of the ordinary caller of a node.
	ordinaryInterval = 100 * time.Millisecond
	// reportTime is how long a server works on a report, and reportClients how many callers ask for
	// one after the other at each node.
	reportTime    = 12 * time.Second
	reportClients = 2
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// watchInterval is the time between two looks at a process's memory.
	watchInterval = 10 * time.Millisecond
	// maxEnds is the number of ends of its own on each machine at which the rule is broken.
	maxEnds = 3
)

// machine is a node with what the platform and its clients saw of it.
type machine struct {
	*fleet.Node
	record                                       *fleet.Record
	ends                                         atomic.Int64
	peak                                         atomic.Int64
	crowdSent, crowdAnswered, crowdRefused       atomic.Int64
	ordinarySent, ordinaryAnswered, ordinaryFail atomic.Int64
	reportsSent, reportsAnswered                 atomic.Int64
}

func main() { os.Exit(play()) }

func play() int {
	record, err := fleet.OpenRecord("review/7/record.txt")
	if err != nil {
		return cannotRun(err)
	}
	folder, err := os.MkdirTemp("", "case-7-")
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store := standin.NewStore()
	listener, err := net.Listen("tcp", fleet.Host+":0")
	if err != nil {
		return cannotRun(err)
	}
	go func() { _ = (&http.Server{Handler: store}).Serve(listener) }() // ends with the process
	servers, err := startServers(store)
	if err != nil {
		return cannotRun(err)
	}
	machines, err := startMachines(listener.Addr().String(), folder, record)
	defer func() {
		for _, m := range machines {
			m.Close()
		}
	}()
	if err != nil {
		return cannotRun(err)
	}
	for _, m := range machines {
		if !m.AwaitReady(10 * time.Second) {
			return cannotRun(fmt.Errorf("%s is not ready", m.Settings.Name))
		}
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("all nodes are ready; trouble: %t", trouble)
	run(machines, trouble)
	return judge(machines, servers, record)
}

func cannotRun(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "case 7 cannot run:", err)
	return exitCannotRun
}

// startServers starts the servers and writes the configuration.
func startServers(store *standin.Store) ([]*fleet.Server, error) {
	var servers []*fleet.Server
	for service, work := range map[string]time.Duration{"docket": 5 * time.Millisecond, "mailroom": 5 * time.Millisecond, "ledger": reportTime} {
		for number, zone := range []string{"worcester-hall", "lowell-hall", "worcester-hall"} {
			server := &fleet.Server{ID: standin.ServerName(service, number), Service: service, Zone: zone, Work: work, Capacity: 3}
			if err := server.Start(store); err != nil {
				return nil, err
			}
			servers = append(servers, server)
		}
	}
	store.PutConfig(standin.Config{
		Version: 1,
		Routes: []standin.Route{
			{
				Name: "notice-file", Host: host, PathPrefix: "/file/", Type: standin.NotRepeatable, TimeoutMS: deadline.Milliseconds(),
				TargetLatencyMS: 1000, Priority: 2, MaxAttempts: 2, Service: "docket",
			},
			{
				Name: "notice-fetch", Host: host, PathPrefix: "/notice/", Type: standin.Repeatable, TimeoutMS: deadline.Milliseconds(),
				TargetLatencyMS: 1000, Priority: 1, MaxAttempts: 2, Service: "mailroom",
			},
			{
				Name: "fee-report", Host: host, PathPrefix: "/report/", Type: standin.Repeatable, TimeoutMS: deadline.Milliseconds(),
				TargetLatencyMS: 0, Priority: 3, MaxAttempts: 1, Service: "ledger",
			},
		},
		Services: []standin.ServiceConfig{
			{Name: "docket", HealthPath: standin.HealthPath, MaxConnections: 110},
			{Name: "ledger", HealthPath: standin.HealthPath, MaxConnections: 110},
			{Name: "mailroom", HealthPath: standin.HealthPath, MaxConnections: 110},
		},
	})
	return servers, nil
}

func startMachines(store, folder string, record *fleet.Record) (machines []*machine, err error) {
	zones := []string{"worcester-hall", "lowell-hall"}
	var ports []fleet.Ports
	var seeds []string
	for range zones {
		free, err := fleet.NewPorts()
		if err != nil {
			return nil, err
		}
		ports, seeds = append(ports, free), append(seeds, fleet.Address(free.Control))
	}
	for number, zone := range zones {
		settings := fleet.Settings{Name: "front-" + zone + "-1", Zone: zone, Zones: zones, Store: store, Seeds: seeds, MemoryMB: memoryMB}
		m := &machine{Node: fleet.NewNode(settings, ports[number], filepath.Clean(folder), record), record: record}
		machines = append(machines, m)
		if err := m.Start(); err != nil {
			return machines, err
		}
	}
	return machines, nil
}

// run plays the clients and the platform.
func run(machines []*machine, trouble bool) {
	ctx, stop := context.WithTimeout(context.Background(), calmTime+crowdTime)
	defer stop()
	var all sync.WaitGroup
	for _, m := range machines {
		all.Go(func() { m.watch(ctx) })
		all.Go(func() { m.sendOrdinary(ctx) })
		for number := range reportClients {
			all.Go(func() { m.requestReports(ctx, number) })
		}
		if !trouble {
			continue
		}
		all.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(calmTime):
				m.record.Printf("%s: %d clients begin to send %d bodies of %d bytes a second", m.Settings.Name, crowdConnections, crowdPerSecond, bodyBytes)
				m.sendCrowd(ctx)
			}
		})
	}
	all.Wait()
}

// watch plays the platform: it kills a process over its memory and starts it again.
func (m *machine) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(watchInterval)
		resident := m.Resident()
		m.peak.Store(max(m.peak.Load(), resident))
		over := resident > memoryMB<<20
		if !over && !m.Exited() {
			continue
		}
		ended := m.ends.Add(1)
		m.record.Printf("%s: process ended: %d bytes resident, %d allowed; processor time %s; end %d of its own", m.Settings.Name, resident, memoryMB<<20, m.ProcessorTime(), ended)
		m.Kill()
		time.Sleep(restartDelay)
		if err := m.Start(); err != nil {
			m.record.Printf("%s: cannot be started again: %s", m.Settings.Name, err)
			return
		}
	}
}

// sendCrowd sends large bodies, evenly over time, on a few kept connections.
func (m *machine) sendCrowd(ctx context.Context) {
	body := bytes.Repeat([]byte("n"), bodyBytes)
	var clients sync.WaitGroup
	for number := range crowdConnections {
		clients.Go(func() {
			client := newClient()
			ticker := time.NewTicker(time.Second * crowdConnections / crowdPerSecond)
			defer ticker.Stop()
			for sent := 0; ctx.Err() == nil; sent++ {
				m.crowdSent.Add(1)
				switch status, _ := m.send(ctx, client, http.MethodPost, fmt.Sprintf("/file/%d-%d", number, sent), fmt.Sprintf("%s-c%d-%d", m.Settings.Zone, number, sent), body); status {
				case http.StatusOK:
					m.crowdAnswered.Add(1)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
					m.crowdRefused.Add(1)
				}
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
	clients.Wait()
}

// sendOrdinary sends small requests, one after the other.
func (m *machine) sendOrdinary(ctx context.Context) {
	client := newClient()
	for sent := 0; ctx.Err() == nil; sent++ {
		m.ordinarySent.Add(1)
		status, err := m.send(ctx, client, http.MethodGet, fmt.Sprintf("/notice/%d", sent), fmt.Sprintf("%s-o%d", m.Settings.Zone, sent), nil)
		if status == http.StatusOK {
			m.ordinaryAnswered.Add(1)
		} else if ctx.Err() == nil {
			m.ordinaryFail.Add(1)
			m.record.Printf("%s: ordinary request %d: status %d, error %v", m.Settings.Name, sent, status, err)
		}
		time.Sleep(ordinaryInterval)
	}
}

// requestReports asks for reports, one after the other.
func (m *machine) requestReports(ctx context.Context, number int) {
	time.Sleep(time.Duration(number) * reportTime / reportClients)
	client := newClient()
	for sent := 0; ctx.Err() == nil; sent++ {
		m.reportsSent.Add(1)
		status, err := m.send(ctx, client, http.MethodGet, fmt.Sprintf("/report/%d-%d", number, sent), fmt.Sprintf("%s-r%d-%d", m.Settings.Zone, number, sent), nil)
		if status == http.StatusOK {
			m.reportsAnswered.Add(1)
		} else if ctx.Err() == nil {
			m.record.Printf("%s: report %d-%d: status %d, error %v", m.Settings.Name, number, sent, status, err)
			time.Sleep(ordinaryInterval)
		}
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: deadline}
}

// send sends a request and reads its answer. The status is zero after an error.
func (m *machine) send(ctx context.Context, client *http.Client, method, path, id string, body []byte) (status int, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+fleet.Address(m.Ports.Callers)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set(standin.AttemptIDHeader, id)
	request.Header.Set(standin.TimeoutHeader, fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// judge records what was seen and returns the exit code.
func judge(machines []*machine, servers []*fleet.Server, record *fleet.Record) int {
	broken := true
	for _, m := range machines {
		record.Printf("%s: peak of resident memory %d bytes of %d; ended by itself %d times", m.Settings.Name, m.peak.Load(), memoryMB<<20, m.ends.Load())
		record.Printf("%s: large bodies: %d sent, %d answered with 200, %d refused; ordinary requests: %d sent, %d answered with 200, %d not",
			m.Settings.Name, m.crowdSent.Load(), m.crowdAnswered.Load(), m.crowdRefused.Load(), m.ordinarySent.Load(), m.ordinaryAnswered.Load(), m.ordinaryFail.Load())
		broken = broken && m.ends.Load() >= maxEnds
	}
	for _, m := range machines {
		record.Printf("%s: reports: %d sent, %d answered with 200; processor time of the last process %s", m.Settings.Name, m.reportsSent.Load(), m.reportsAnswered.Load(), m.ProcessorTime())
	}
	for _, server := range servers {
		record.Printf("%s ran %d requests", server.ID, server.Ran.Load())
	}
	if broken {
		record.Printf("BROKEN: the processes of both machines ended by themselves %d times or more, over their memory", maxEnds)
		return exitBroken
	}
	record.Printf("HELD")
	return exitHeld
}
