//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// The case large-bodies: clients send many large bodies of legal size, whole, on a route whose requests must not be
// repeated, while now and then a request of another route takes long. The nodes must stay within the
// memory of their machines. The case plays the platform, which kills a process over its memory and
// starts it again.
const (
	// bodyBytes is the limit on bodies in the configuration, which is that of the site files.
	bodyBytes = 262144
	// bodiesPerSecond is the number of large bodies that a node gets in a second, on
	// bodyConnections connections: 26 MB, a fifth of the machine's link.
	bodiesPerSecond = 100
	bodyConnections = 20
	// calmTime is how long there are no large bodies, and bodiesTime how long there are.
	calmTime   = 5 * time.Second
	bodiesTime = 75 * time.Second
	// workTime is how long a server works on a request, and reportTime on a report.
	workTime   = 5 * time.Millisecond
	reportTime = 12 * time.Second
	// reportClients is the number of callers of each node that ask for one report after the other.
	reportClients = 2
	// ordinaryInterval is the pause between two requests of the ordinary caller of a node.
	ordinaryInterval = 100 * time.Millisecond
	// watchInterval is the time between two looks at a process's memory, and restartDelay the time
	// after which the platform starts a process again.
	watchInterval = 10 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	// minEnds is the number of ends of its own on each machine at which the rule is broken.
	minEnds = 3
)

// tally counts the requests of one kind.
type tally struct{ sent, served, refused, failed atomic.Int64 }

func (t *tally) add(a answer) {
	t.sent.Add(1)
	switch a.status {
	case http.StatusOK:
		t.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d answered with 200, %d refused, %d failed", t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load())
}

// watchedNode is a node with what the platform and its clients saw of it.
type watchedNode struct {
	*node
	ends, peak                int64
	bodies, reports, ordinary tally
}

func playLargeBodies(recordPath string) int {
	route := standin.Route{Host: host, TimeoutMS: deadline.Milliseconds(), Type: standin.Repeatable, MaxAttempts: 1, Priority: 2}
	file, fetch, report := route, route, route
	file.Name, file.PathPrefix, file.Service, file.Type = "notice-file", "/file/", "docket", standin.NotRepeatable
	fetch.Name, fetch.PathPrefix, fetch.Service, fetch.TargetLatencyMS = "notice-fetch", "/notice/", "mailroom", 1000
	report.Name, report.PathPrefix, report.Service = "fee-report", "/report/", "ledger"
	services := []service{{"docket", workTime}, {"mailroom", workTime}, {"ledger", reportTime}}
	d, err := startDeployment(recordPath, services, []standin.Route{file, fetch, report})
	defer d.close()
	if err != nil {
		return cannotRun(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), calmTime+bodiesTime)
	defer stop()
	var watched []*watchedNode
	var all sync.WaitGroup
	for _, started := range d.nodes {
		w := &watchedNode{node: started}
		watched = append(watched, w)
		all.Go(func() { w.watch(ctx) })
		all.Go(func() { w.sendOrdinary(ctx) })
		for number := range reportClients {
			all.Go(func() { w.requestReports(ctx, number) })
		}
		if hasTrouble() {
			all.Go(func() { w.sendBodies(ctx) })
		}
	}
	all.Wait()
	d.recordRuns(false)
	return judgeMemory(watched, d.record)
}

// watch plays the platform: it kills a process over its memory and starts it again.
func (w *watchedNode) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(watchInterval)
		resident := w.resident()
		w.peak = max(w.peak, resident)
		if resident <= memoryBytes && !w.hasExited() {
			continue
		}
		w.ends++
		w.record.printf("%s: process ended: %d bytes resident, %d allowed; processor time %s; end %d of its own",
			w.settings.name, resident, memoryBytes, w.processorTime(), w.ends)
		w.kill()
		time.Sleep(restartDelay)
		if err := w.start(); err != nil {
			w.record.printf("%s: cannot be started again: %s", w.settings.name, err)
			return
		}
	}
}

// sendBodies sends large bodies, evenly over time, on a few kept connections.
func (w *watchedNode) sendBodies(ctx context.Context) {
	time.Sleep(calmTime)
	w.record.printf("%s: %d clients begin to send %d bodies of %d bytes a second", w.settings.name, bodyConnections, bodiesPerSecond, bodyBytes)
	body := bytes.Repeat([]byte("n"), bodyBytes)
	var clients sync.WaitGroup
	for number := range bodyConnections {
		clients.Go(func() {
			client := newClient(true)
			ticker := time.NewTicker(time.Second * bodyConnections / bodiesPerSecond)
			defer ticker.Stop()
			for sent := 0; ctx.Err() == nil; sent++ {
				w.bodies.add(w.send(ctx, client, http.MethodPost, fmt.Sprintf("/file/%d-%d", number, sent), body))
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
	clients.Wait()
}

// requestReports asks for reports, one after the other.
func (w *watchedNode) requestReports(ctx context.Context, number int) {
	time.Sleep(time.Duration(number) * reportTime / reportClients)
	client := newClient(true)
	for sent := 0; ctx.Err() == nil; sent++ {
		got := w.send(ctx, client, http.MethodGet, fmt.Sprintf("/report/%d-%d", number, sent), nil)
		if ctx.Err() != nil && got.status == 0 {
			return // cut short by the end of the play
		}
		w.reports.add(got)
		if got.status != http.StatusOK {
			time.Sleep(max(got.retryAfter, restartDelay))
		}
	}
}

// sendOrdinary sends small requests, one after the other.
func (w *watchedNode) sendOrdinary(ctx context.Context) {
	client := newClient(true)
	for sent := 0; ctx.Err() == nil; sent++ {
		got := w.send(ctx, client, http.MethodGet, fmt.Sprintf("/notice/%d", sent), nil)
		if ctx.Err() == nil {
			w.ordinary.add(got)
		}
		time.Sleep(ordinaryInterval)
	}
}

func (w *watchedNode) send(ctx context.Context, client *http.Client, method, path string, body []byte) answer {
	got := send(ctx, client, w.node, method, path, w.settings.zone+path, body, deadline)
	if got.status != http.StatusOK && ctx.Err() == nil {
		w.record.printf("%s: %s %s: status %d, error %v", w.settings.name, method, path, got.status, got.err)
	}
	return got
}

// judgeMemory records what was seen, applies the rule and returns the exit code.
func judgeMemory(watched []*watchedNode, record *record) int {
	broken := true
	for _, w := range watched {
		record.printf("%s: large bodies: %s", w.settings.name, &w.bodies)
		record.printf("%s: reports: %s", w.settings.name, &w.reports)
		record.printf("%s: ordinary requests: %s", w.settings.name, &w.ordinary)
		record.printf("%s: peak of resident memory %d bytes of %d; processor time of the last process %s; processes ended by themselves %d times",
			w.settings.name, w.peak, memoryBytes, w.processorTime(), w.ends)
		broken = broken && w.ends >= minEnds
	}
	if broken {
		record.printf("BROKEN: the processes of both machines ended by themselves %d times or more, over their memory", minEnds)
		return exitBroken
	}
	record.printf("HELD")
	return exitHeld
}
