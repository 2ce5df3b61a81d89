//go:build review2

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// Ports of a node. They are alike on all nodes, which have an address each.
const (
	callerPort = 21900 + iota
	readyPort
	directoryPort
	controlPort
	internalPort
	metricsPort = 9464
)

// nodeProgram is the node program as the deploy file builds it.
const nodeProgram = "target/banksail-front"

// deployment is a small deployment: a store, servers and nodes.
type deployment struct {
	recorder     *recorder
	store        *standin.Store
	storeAddress string
	network      string // the first three parts of all addresses
	folder       string
	nodes        []*node
}

// node is one machine with its process.
type node struct {
	name, host, zone, settingsPath string
	process                        *exec.Cmd
	exited                         chan struct{}
}

var (
	processesMutex sync.Mutex
	// processes are all running node processes, guarded by processesMutex.
	processes = make(map[*exec.Cmd]struct{})
)

// killAllProcesses kills every process that is still running.
func killAllProcesses() {
	processesMutex.Lock()
	defer processesMutex.Unlock()
	for process := range processes {
		_ = process.Process.Kill()
	}
}

// newDeployment starts the store. count is the number of nodes.
func newDeployment(r *recorder, count int) (*deployment, error) {
	network, err := freeNetwork(count)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{recorder: r, store: standin.NewStore(), network: network, folder: folder}
	listener, err := net.Listen("tcp", d.host(200)+":0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: d.store}).Serve(listener) }()
	return d, nil
}

// close ends all nodes and removes the folder.
func (d *deployment) close() {
	killAllProcesses()
	for _, n := range d.nodes {
		if n.exited != nil {
			<-n.exited
		}
	}
	d.store.Close()
	_ = os.RemoveAll(d.folder)
}

func (d *deployment) host(number int) string { return d.network + "." + strconv.Itoa(number) }

// freeNetwork returns the start of loopback addresses on which the ports of all nodes are free.
func freeNetwork(count int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250))
		free := true
		for number := range count {
			for _, port := range []int{callerPort, readyPort, directoryPort, controlPort, internalPort, metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, number+1, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free ports on loopback")
}

// startNodes starts nodes for the first time, in zones in turn.
func (d *deployment) startNodes(count int, zones []string, rollouts bool) error {
	var seeds []string
	for number := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.host(number+1), controlPort))
	}
	for number := range count {
		n := &node{name: fmt.Sprintf("front-%d", number+1), host: d.host(number + 1), zone: zones[number%len(zones)]}
		n.settingsPath = filepath.Join(d.folder, n.name+".toml")
		d.nodes = append(d.nodes, n)
		if err := d.writeSettings(n, zones, seeds, true, rollouts); err != nil {
			return err
		}
		if err := d.start(n); err != nil {
			return err
		}
		if err := d.writeSettings(n, zones, seeds, false, rollouts); err != nil { // for later starts
			return err
		}
	}
	return nil
}

func (d *deployment) writeSettings(n *node, zones, seeds []string, bootstrap, rollouts bool) error {
	settings := standin.NodeSettings{
		NodeName: n.name, Zone: n.zone, Zones: zones, Host: n.host, Seeds: seeds, Bootstrap: bootstrap,
		CallerPort: callerPort, ReadyPort: readyPort, DirectoryPort: directoryPort, ControlPort: controlPort, InternalPort: internalPort,
		GraceSeconds: 6, ApplyMS: 5000, StoreAddress: d.storeAddress, EnableRollouts: rollouts, MemoryMB: 284, MaxDescriptors: 4100,
	}
	return os.WriteFile(n.settingsPath, []byte(settings.TOML()), 0o600)
}

// start starts a node's process and waits until it accepts connections.
func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(nodeProgram, "serve")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), standin.SettingsVariable + "=" + n.settingsPath}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	processesMutex.Lock()
	processes[n.process] = struct{}{}
	processesMutex.Unlock()
	n.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		processesMutex.Lock()
		delete(processes, process)
		processesMutex.Unlock()
		_ = log.Close()
		close(exited)
	}(n.process, n.exited)
	for range 500 {
		conn, err := net.Dial("tcp", net.JoinHostPort(n.host, strconv.Itoa(callerPort)))
		if err == nil {
			return conn.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", n.name)
}

// kill ends a node's process without notice.
func (n *node) kill() {
	_ = n.process.Process.Kill()
	<-n.exited
}

// isReady reports whether the node answers its readiness check with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/banksail/readiness", n.host, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// copyLogs appends those of the nodes' log lines to the record that contain the text.
func (d *deployment) copyLogs(text string) {
	for _, n := range d.nodes {
		log, err := os.ReadFile(filepath.Join(d.folder, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) {
				d.recorder.detail("log of %s: %s", n.name, strings.TrimSpace(line))
			}
		}
	}
}

// serverListener opens a listener for a server.
func (d *deployment) serverListener() (net.Listener, error) {
	return net.Listen("tcp", d.host(100)+":0")
}

// answer is what a client got for one request.
type answer struct {
	id, path string
	sentAt   time.Duration // since the start of the case
	status   int           // zero: the connection ended without an answer
	stamp    string
	err      error
}

// caller is a client with kept connections. Like the users' clients it heeds Connection: close.
type caller struct {
	client   *http.Client
	recorder *recorder
}

func newCaller(r *recorder) *caller {
	return &caller{recorder: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true, ExpectContinueTimeout: time.Second}}}
}

// host is the host name of all routes.
const host = "search.example"

// ask sends one request with an ID of its own.
func (c *caller) ask(n *node, method, path string, body io.Reader, timeout time.Duration) answer {
	return c.askWith(n, method, path, body, timeout, nil)
}

// askExpecting sends one request with a body that is sent once the node asks for it.
func (c *caller) askExpecting(n *node, path, body string, timeout time.Duration) answer {
	return c.askWith(n, http.MethodPost, path, strings.NewReader(body), timeout, http.Header{"Expect": {"100-continue"}})
}

func (c *caller) askWith(n *node, method, path string, body io.Reader, timeout time.Duration, header http.Header) answer {
	id := strconv.FormatUint(rand.Uint64(), 16)
	got := answer{id: id, path: path, sentAt: time.Since(c.recorder.start)}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.host, callerPort, path), body)
	if err != nil {
		got.err = err
		return got
	}
	if header != nil {
		request.Header = header
	}
	request.Host = host
	request.GetBody = nil // nothing is sent twice
	request.Header.Set(standin.AttemptIDHeader, id)
	request.Header.Set(standin.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	c.client.Timeout = timeout + time.Second
	response, err := c.client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		got.err = err
		return got
	}
	got.status, got.stamp = response.StatusCode, response.Header.Get(standin.StampHeader)
	return got
}
