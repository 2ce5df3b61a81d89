//go:build review3

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

// The case crash-loop: all servers of a service crash several times in a row while sound requests run there, and are
// well again. All processes of the system are killed later. The requests must be served again.
const (
	// statementTime is how long a server works on a request.
	statementTime = 4 * time.Second
	// accounts is the number of callers. Each asks for the statement of its own account, each
	// accountInterval, with one retry.
	accounts        = 6
	accountInterval = 5 * time.Second
	maxTries        = 2
	// The servers crash crashCount times, each crashInterval, and are down for crashTime.
	crashCount    = 5
	crashInterval = 4500 * time.Millisecond
	crashTime     = 2 * time.Second
	// Times since the start of the traffic. All processes are killed at faultAt and start again after
	// downTime. The requests that are sent later than recoveryTime after that count, until endAt.
	crashesAt    = 25 * time.Second
	faultAt      = 51 * time.Second
	downTime     = time.Second
	recoveryTime = 12 * time.Second
	endAt        = 95 * time.Second
	// minServedShare is the share of the rule.
	minServedShare = 0.25
)

// sentRequest is a request of a caller, with its retry.
type sentRequest struct {
	at     time.Duration
	served bool
}

// crashLoop is a play of the case.
type crashLoop struct {
	*deployment
	start time.Time

	mutex sync.Mutex
	// mutex guards requests.
	requests []sentRequest
}

func playCrashLoop(recordPath string) int {
	route := standin.Route{
		Name: "statement", Host: host, PathPrefix: "/statement/", Type: standin.Repeatable, TimeoutMS: deadline.Milliseconds(),
		TargetLatencyMS: (2 * statementTime).Milliseconds(), Priority: 2, MaxAttempts: 2, Service: "ledger",
	}
	d, err := startDeployment(recordPath, []service{{"ledger", statementTime}}, []standin.Route{route})
	defer d.close()
	if err != nil {
		return cannotRun(err)
	}
	p := &crashLoop{deployment: d, start: time.Now()}
	ctx, stop := context.WithTimeout(context.Background(), endAt)
	defer stop()
	var all sync.WaitGroup
	for account := range accounts {
		all.Go(func() { p.askForStatements(ctx, account) })
	}
	if hasTrouble() {
		all.Go(p.crashServers)
	}
	all.Go(p.killNodes)
	all.Wait()
	d.recordRuns(true)
	for _, key := range d.store.Keys("quarantine/") {
		d.record.printf("the store holds %s", key)
	}
	return p.judge()
}

// crashServers crashes all servers of the service, several times.
func (p *crashLoop) crashServers() {
	for number := range crashCount {
		time.Sleep(time.Until(p.start.Add(crashesAt + time.Duration(number)*crashInterval)))
		for _, s := range p.servers {
			s.kill()
		}
		time.Sleep(crashTime)
		for _, s := range p.servers {
			if err := s.start(); err != nil {
				p.record.printf("%s: %s", s.id, err)
			}
		}
	}
}

// killNodes is the final fault.
func (p *crashLoop) killNodes() {
	time.Sleep(time.Until(p.start.Add(faultAt)))
	p.record.printf("the final fault: all processes of the system are killed")
	for _, n := range p.nodes {
		n.kill()
	}
	time.Sleep(downTime)
	for _, n := range p.nodes {
		if err := n.start(); err != nil {
			p.record.printf("%s: %s", n.settings.name, err)
		}
	}
}

// askForStatements asks for the statement of one account, again and again.
func (p *crashLoop) askForStatements(ctx context.Context, account int) {
	first := p.start.Add(time.Duration(account) * accountInterval / accounts)
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(first.Add(time.Duration(number) * accountInterval))):
		}
		at := time.Since(p.start)
		served := p.ask(ctx, account, number)
		if ctx.Err() != nil && !served {
			return // cut short by the end of the play
		}
		p.mutex.Lock()
		p.requests = append(p.requests, sentRequest{at: at, served: served})
		p.mutex.Unlock()
	}
}

// ask sends a request and, after a failure, a retry on a new connection, when it is told to come back.
// It reports whether the request was served.
func (p *crashLoop) ask(ctx context.Context, account, number int) bool {
	began := time.Now()
	for try := range maxTries {
		id := fmt.Sprintf("a%d-%d-%d", account, number, try)
		path := fmt.Sprintf("/statement/%d", account)
		n := p.nodes[rand.IntN(len(p.nodes))]
		got := send(ctx, newClient(false), n, http.MethodGet, path, id, nil, deadline-time.Since(began))
		p.record.printf("attempt %s for %s at %s: status %d, Retry-After %s, error %v", id, path, n.settings.name, got.status, got.retryAfter, got.err)
		if got.status == http.StatusOK {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(min(got.retryAfter, (deadline-time.Since(began))/3)):
		}
	}
	return false
}

// judge applies the rule and returns the exit code.
func (p *crashLoop) judge() int {
	before := p.servedShare("before the final fault", 0, faultAt)
	after := p.servedShare("later than recovery_s after the machines are back", faultAt+downTime+recoveryTime, endAt)
	if before >= minServedShare && after < minServedShare {
		p.record.printf("BROKEN: less than a quarter is served after the final fault, and a quarter or more was before it")
		return exitBroken
	}
	p.record.printf("HELD")
	return exitHeld
}

// servedShare returns the share of the requests sent in a span that were served.
func (p *crashLoop) servedShare(name string, from, until time.Duration) float64 {
	sent, served := 0, 0
	for _, r := range p.requests {
		if r.at < from || r.at >= until {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	p.record.printf("%s: %d requests sent, %d served", name, sent, served)
	return float64(served) / float64(max(sent, 1))
}
