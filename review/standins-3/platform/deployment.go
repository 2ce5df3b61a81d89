//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

const (
	// host is the host name of all routes.
	host = "hall.example"
	// deadline is that of tsb-search's notice-fetch: the route's timeout and the clients'.
	deadline = 15 * time.Second
	// readyTimeout bounds the wait for nodes that start.
	readyTimeout = 10 * time.Second
	// serversPerService and serverCapacity are the servers of a service and the slots of each.
	serversPerService = 3
	serverCapacity    = 3
	// maxConnections is the number of connections that a server takes, as docket's at tsb-search.
	maxConnections = 110
)

// loopback returns a loopback address of this play's own, so that plays do not take each other's ports.
// The store and the servers have number 1, the nodes the following numbers.
func loopback(number int) string {
	const addressByte = 0xff
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%addressByte, pid&addressByte, number)
}

// platformNumber is the number of the address of the store and the servers.
const platformNumber = 1

// zones are the zones of the deployment, with one machine each.
var zones = []string{"worcester-hall", "lowell-hall"}

// service is a service of the deployment and how long its servers work on a request.
type service struct {
	name string
	work time.Duration
}

// deployment is a small deployment: a store, servers and two nodes.
type deployment struct {
	record  *record
	folder  string
	store   *standin.Store
	servers []*serverProcess
	nodes   []*node
}

// startDeployment starts the servers and nodes and waits until the nodes are ready. The caller must
// close the deployment, also after an error.
func startDeployment(recordPath string, services []service, routes []standin.Route) (*deployment, error) {
	d := &deployment{store: standin.NewStore()}
	var err error
	if d.record, err = openRecord(recordPath); err != nil {
		return d, err
	}
	if d.folder, err = os.MkdirTemp("", "review-case-"); err != nil {
		return d, err
	}
	listener, err := net.Listen("tcp", addressOf(loopback(platformNumber), 0))
	if err != nil {
		return d, err
	}
	go func() { _ = (&http.Server{Handler: d.store}).Serve(listener) }() // ends with the process
	if err := d.startServers(services, routes); err != nil {
		return d, err
	}
	if err := d.startNodes(listener.Addr().String()); err != nil {
		return d, err
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(readyTimeout); err != nil {
			return d, err
		}
	}
	d.record.printf("all nodes are ready; trouble: %t", hasTrouble())
	return d, nil
}

// startServers starts the servers and writes the configuration.
func (d *deployment) startServers(services []service, routes []standin.Route) error {
	config := standin.Config{Version: 1, Routes: routes}
	for _, s := range services {
		ports, err := freePorts(loopback(platformNumber), serversPerService)
		if err != nil {
			return err
		}
		for number, port := range ports {
			started := &serverProcess{
				id: standin.ServerName(s.name, number), service: s.name, zone: zones[number%len(zones)], address: addressOf(loopback(platformNumber), port),
				work: s.work, capacity: serverCapacity, store: d.store, record: d.record, folder: d.folder,
			}
			d.servers = append(d.servers, started)
			if err := started.start(); err != nil {
				return err
			}
		}
		config.Services = append(config.Services, standin.ServiceConfig{Name: s.name, HealthPath: standin.HealthPath, MaxConnections: maxConnections})
	}
	d.store.PutConfig(config)
	return nil
}

func (d *deployment) startNodes(store string) error {
	var all []nodeSettings
	var seeds []string
	const portsPerNode = 5
	for index, zone := range zones {
		address := loopback(platformNumber + 1 + index)
		free, err := freePorts(address, portsPerNode)
		if err != nil {
			return err
		}
		all = append(all, nodeSettings{
			name: "front-" + zone + "-1", zone: zone, address: address, store: store, zones: zones,
			callers: free[0], ready: free[1], directory: free[2], control: free[3], gossiping: free[4],
		})
		seeds = append(seeds, addressOf(address, free[3]))
	}
	for _, settings := range all {
		settings.seeds = seeds
		n := &node{settings: settings, folder: d.folder, record: d.record}
		d.nodes = append(d.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.close()
	}
	for _, s := range d.servers {
		s.close()
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}

// recordRuns adds to the record what the servers ran: each request, or their number.
func (d *deployment) recordRuns(each bool) {
	for _, s := range d.servers {
		content, err := os.ReadFile(s.runsFile())
		if err != nil {
			d.record.printf("%s: %s", s.id, err)
			continue
		}
		count := 0
		for line := range strings.Lines(string(content)) {
			count++
			if each {
				d.record.printf("%s: %s", s.id, strings.TrimSpace(line))
			}
		}
		d.record.printf("%s ran %d requests", s.id, count)
	}
}

// answer is what a client got. The status is zero if it got no whole answer.
type answer struct {
	status     int
	retryAfter time.Duration
	err        error
}

// newClient returns a client that keeps one connection, or none.
func newClient(keepsConnection bool) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: !keepsConnection, DisableCompression: true}}
}

// send sends one attempt to a node and waits for its answer as long as the client does.
func send(ctx context.Context, client *http.Client, n *node, method, path, id string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addressOf(n.settings.address, n.settings.callers)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set(standin.AttemptIDHeader, id)
	request.Header.Set(standin.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{err: err}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // zero if there is none
	return answer{status: response.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// addressOf returns the address of a port.
func addressOf(address string, port int) string { return fmt.Sprintf("%s:%d", address, port) }

// freePorts returns ports of an address that nobody uses at present.
func freePorts(address string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", addressOf(address, 0))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
