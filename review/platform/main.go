//go:build review

// Command platform plays a small deployment for the cases of the review: the store and the servers
// of the users' platform, clients, and the nodes as separate processes. It exits with 1 if a rule
// was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

const partLength = 1000

func main() {
	scenario := flag.String("scenario", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	program := flag.String("program", "target/banksail-front", "program of the nodes")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, known := scenarios[*scenario]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", *scenario)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{program: *program, folder: folder, trouble: *trouble, log: newJournal(), store: standin.NewStore(), firstIP: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(200), 1+rand.IntN(200))}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(2)
	}()
	lines, err := playSafely(w, play)
	w.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := w.log.write(*record, append(w.summary(), lines...)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, line := range append(w.summary(), lines...) {
		fmt.Println(line)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("kept", folder)
	}
	if len(lines) > 0 {
		os.Exit(1)
	}
}

// playSafely plays a case. A panic becomes an error, so that no process is left behind.
func playSafely(w *world, play func(*world) ([]string, error)) (lines []string, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the case failed: %v", cause)
		}
	}()
	return play(w)
}

// scenarios are the cases by name. Each returns one line for each break of a rule.
var scenarios = map[string]func(*world) ([]string, error){}

// world is a small deployment.
type world struct {
	program, folder string
	trouble         bool
	log             *journal
	store           *standin.Store
	firstIP         string

	storeAddress string
	zones        []string
	nodes        []*node
	servers      []*server
	clients      []*client
	kinds        []requestKind
}

// startStore starts the platform's store.
func (w *world) startStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddress = listener.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// startNodes starts the nodes for the first time and waits until they are ready.
func (w *world) startNodes(count int) error {
	var ips, seeds []string
	for number := range count {
		ips = append(ips, fmt.Sprintf("%s%d", w.firstIP, number+1))
	}
	found, err := findPorts(ips)
	if err != nil {
		return err
	}
	for _, ip := range ips[:min(count, 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, found.control))
	}
	for number, ip := range ips {
		n := &node{name: fmt.Sprintf("front-%d", number+1), ip: ip, zone: w.zones[number%len(w.zones)], ports: found}
		if err := n.writeSettings(w.folder, w.storeAddress, seeds, w.zones, true); err != nil {
			return err
		}
		if err := n.start(w.program); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.waitReady(n); err != nil {
			return err
		}
		if err := n.writeSettings(w.folder, w.storeAddress, seeds, w.zones, false); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) waitReady(n *node) error {
	for range 100 {
		if n.isReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New(n.name + " does not become ready")
}

func (n *node) isReady() bool {
	asker := http.Client{Timeout: time.Second}
	response, err := asker.Get("http://" + n.address(n.ports.ready) + "/banksail/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startServers starts servers of a service, in all zones in turn.
func (w *world) startServers(options serverOptions, count int) error {
	for number := range count {
		id := fmt.Sprintf("i-%s-%d", options.service, number)
		s, err := startServer(options, id, w.zones[number%len(w.zones)], w.store, w.log)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	return nil
}

// putConfig writes the configuration as the operator does.
func (w *world) putConfig(version int, routes []map[string]any, services map[string]int) {
	var listed []map[string]any
	for name, connections := range services {
		listed = append(listed, map[string]any{"name": name, "health_path": healthPath, "max_connections": connections})
	}
	slices.SortFunc(listed, func(a, b map[string]any) int { return strings.Compare(a["name"].(string), b["name"].(string)) })
	w.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// route returns the route of a kind of request.
func (k requestKind) route(service string, priority, targetLatencyMS, attempts int) map[string]any {
	routeType := "idempotent"
	if !k.repeatable {
		routeType = "non_idempotent"
	}
	r := map[string]any{
		"name": k.name, "host": host, "path_prefix": k.prefix, "type": routeType, "timeout_ms": k.deadline.Milliseconds(),
		"target_latency_ms": targetLatencyMS, "max_attempts": attempts, "priority": priority,
	}
	if len(k.parts) > 0 {
		r["gather"], r["top_k"], r["min_coverage"] = k.parts, k.top, k.minShare
	} else {
		r["service"] = service
	}
	return r
}

// resolve asks a node for the addresses of the nodes, as clients do.
func (w *world) resolve() []string {
	asker := http.Client{Timeout: time.Second}
	for _, index := range rand.Perm(len(w.nodes)) {
		n := w.nodes[index]
		response, err := asker.Get(fmt.Sprintf("http://%s/banksail/resolve?name=%s&region=here&zone=%s", n.address(n.ports.directory), host, n.zone))
		if err != nil {
			continue
		}
		var found struct {
			Addresses []string `json:"addrs"`
		}
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		if err == nil && len(found.Addresses) > 0 {
			return found.Addresses
		}
	}
	return nil
}

// runClients lets clients send requests for a time and waits until all are answered.
func (w *world) runClients(length time.Duration) {
	end := make(chan struct{})
	var done sync.WaitGroup
	for _, c := range w.clients {
		done.Add(1)
		go c.run(end, &done)
	}
	time.Sleep(length)
	close(end)
	done.Wait()
	time.Sleep(time.Second) // what the servers still run is counted, too
}

// addClients adds clients of a kind. Each asks anew for addresses after two seconds.
func (w *world) addClients(count int, kind requestKind, pause time.Duration) {
	if !slices.ContainsFunc(w.kinds, func(k requestKind) bool { return k.name == kind.name }) {
		w.kinds = append(w.kinds, kind)
	}
	for range count {
		var known []string
		var at time.Time
		w.clients = append(w.clients, &client{kind: kind, log: w.log, pause: pause, addresses: func() []string {
			if time.Since(at) > 2*time.Second {
				if fresh := w.resolve(); len(fresh) > 0 {
					known, at = fresh, time.Now()
				}
			}
			return known
		}})
	}
}

func (w *world) close() {
	var stops sync.WaitGroup
	for _, n := range w.nodes {
		stops.Go(n.stop)
	}
	stops.Wait()
	for _, s := range w.servers {
		s.stop()
	}
	w.store.Close()
}

// summary counts the events.
func (w *world) summary() []string {
	counts := make(map[string]int)
	for _, e := range w.log.list() {
		key := e.kind
		if e.kind == "answer" {
			key += " " + strings.Fields(e.text)[0]
		}
		counts[key]++
	}
	var lines []string
	for key, count := range counts {
		lines = append(lines, fmt.Sprintf("count %s: %d", key, count))
	}
	slices.Sort(lines)
	return lines
}
