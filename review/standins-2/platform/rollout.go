//go:build review2

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/banksail/banksail/platform/standin"
)

const (
	movedService = "ledger"
	rolloutNodes = 3
	// movedTime is how long a request runs.
	movedTime = 100 * time.Millisecond
	// orderDuration is the time within which the roll-out has to end.
	orderDuration = 24 * time.Second
	// maxOrders is how often the roll-out is ordered, if the version is given up though it is good.
	maxOrders = 2
	// endOfBefore is how long the status may still be the end of the order before.
	endOfBefore = 3 * time.Second
	// requestPause is the time between two requests of one of the callers, of which there are
	// callersPerRoute a node and route.
	requestPause    = 30 * time.Millisecond
	callersPerRoute = 2
	// copyInterval is the time between two copies of the store, and copyAge the least age of the one
	// that it comes back from. A copy of olderCopyAge was made before the traffic moved.
	copyInterval = 500 * time.Millisecond
	copyAge      = 2 * time.Second
	olderCopyAge = 6 * time.Second
	// killDelay is the time from the end of the roll-out to the kill of all processes, storeDownTime
	// how long the store is away, and restartDelay the time until the processes start again.
	killDelay     = time.Second
	storeDownTime = 2 * time.Second
	restartDelay  = time.Second
	// recoveryTime is the users' recovery_s, and judgedTime for how long requests are judged after it.
	recoveryTime = 15 * time.Second
	judgedTime   = 12 * time.Second
	// servedShare is the share of the requests that has to be served.
	servedShare = 0.25
)

// movedRun is a roll-out under traffic.
type movedRun struct {
	d    *deployment
	old  []*standin.Server
	new  []*standin.Server
	stop chan struct{}

	asking sync.WaitGroup
	mutex  sync.Mutex
	// mutex guards answers.
	answers []answer
}

// playRollout completes the roll-out of a good version, upon which the platform stops the servers of
// the version before. In a drill the store then comes back from a copy some seconds old, while all
// processes are killed and started again. The rule RECOVER is broken if less than a quarter of the
// requests is served from recoveryTime after the start on.
//
// The variable PART selects one of the two disruptions, "drill" or "kill", or "older" for an older copy.
func playRollout(r *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, rolloutNodes)
	if err != nil {
		return false, err
	}
	defer d.close()
	defer d.copyLogs("roll-out")
	run := &movedRun{d: d, stop: make(chan struct{})}
	if run.old, err = startVersion(d, 0, "v1"); err != nil {
		return false, err
	}
	d.store.PutConfig(movedConfig())
	if err := d.startNodes(rolloutNodes, []string{"zone-a"}, true); err != nil {
		return false, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	run.startCallers()
	defer run.finish()
	time.Sleep(3 * time.Second)
	if run.new, err = startVersion(d, 10, "v2"); err != nil {
		return false, err
	}
	var backup *standin.Backup
	for order := 0; order < maxOrders && backup == nil; order++ {
		if backup, err = run.rollOut(); err != nil {
			return false, err
		}
	}
	if backup == nil {
		return false, errors.New("the good version was rolled back each time")
	}
	completedAt := time.Since(r.start)
	part := os.Getenv("PART")
	time.Sleep(killDelay)
	if err := run.disrupt(backup, trouble && part != "kill", trouble && part != "drill"); err != nil {
		return false, err
	}
	backAt := time.Since(r.start)
	time.Sleep(recoveryTime + judgedTime)
	run.reportStatus()
	before := run.served(completedAt-5*time.Second, completedAt)
	after := run.served(backAt+recoveryTime, backAt+recoveryTime+judgedTime)
	r.line("served before the end of the roll-out: %.3f", before)
	r.line("served later than %s after the machines are back: %.3f", recoveryTime, after)
	return before >= servedShare && after < servedShare, nil
}

func movedConfig() standin.Config {
	config := standin.Config{Version: 1, Services: []standin.ServiceConfig{{Name: movedService, HealthPath: standin.HealthPath, MaxConnections: 110}}}
	for _, name := range []string{"one", "two"} {
		config.Routes = append(config.Routes, standin.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Type: standin.Repeatable, TimeoutMS: 2000, TargetLatencyMS: 200,
			Priority: 1, MaxAttempts: 2, Service: movedService,
		})
	}
	return config
}

// startVersion starts three servers of a version.
func startVersion(d *deployment, first int, version string) ([]*standin.Server, error) {
	var servers []*standin.Server
	for number := range 3 {
		listener, err := d.serverListener()
		if err != nil {
			return nil, err
		}
		s := standin.StartServerVersion(d.store, standin.ServerName(movedService, first+number), movedService, "zone-a", version, listener)
		s.Set(func() { s.ServiceTime = movedTime })
		servers = append(servers, s)
	}
	return servers, nil
}

// startCallers starts the callers of all nodes and routes.
func (m *movedRun) startCallers() {
	for _, n := range m.d.nodes {
		for index := range 2 * callersPerRoute {
			name := []string{"one", "two"}[index%2]
			c := newCaller(m.d.recorder)
			m.asking.Go(func() {
				for number := 0; ; number++ {
					select {
					case <-m.stop:
						return
					case <-time.After(requestPause):
					}
					got := c.ask(n, http.MethodGet, fmt.Sprintf("/%s/%s-%d-%d", name, n.name, index, number), nil, time.Second)
					m.mutex.Lock()
					m.answers = append(m.answers, got)
					m.mutex.Unlock()
				}
			})
		}
	}
}

func (m *movedRun) finish() {
	close(m.stop)
	m.asking.Wait()
	for _, got := range m.answers {
		m.d.recorder.detail("request %s %s at %.3f: status %d %s, error %v", got.id, got.path, got.sentAt.Seconds(), got.status, got.stamp, got.err)
	}
}

// rollOut orders the roll-out and waits for its end, upon which the servers of the version before
// stop. It returns a copy of the store some seconds old, or nil if the version was rolled back.
func (m *movedRun) rollOut() (*standin.Backup, error) {
	m.d.store.OrderRollout(movedService, "v2", orderDuration)
	orderedAt := time.Now()
	m.d.recorder.line("roll-out of v2 ordered")
	type copied struct {
		at     time.Time
		backup *standin.Backup
	}
	var copies []copied
	var last time.Time
	for ; time.Since(orderedAt) < orderDuration+3*time.Second; time.Sleep(5 * time.Millisecond) {
		if time.Since(last) >= copyInterval {
			last = time.Now()
			copies = append(copies, copied{last, m.d.store.Backup()})
		}
		status, err := m.d.store.ReadRolloutStatus(movedService)
		if err != nil {
			return nil, err
		}
		switch status.State {
		case standin.RolloutCompleted:
			for _, s := range m.old {
				s.Stop()
				m.d.store.RemoveServer(s.ID)
			}
			m.d.recorder.line("status completed after %.1f s; the servers of v1 stop", time.Since(orderedAt).Seconds())
			least := copyAge
			if os.Getenv("PART") == "older" {
				least = olderCopyAge
			}
			for index := len(copies) - 1; index >= 0; index-- {
				if age := time.Since(copies[index].at); age >= least {
					m.d.recorder.line("the store's copy was made %.1f s before that", age.Seconds())
					return copies[index].backup, nil
				}
			}
		case standin.RolloutRolledBack:
			if time.Since(orderedAt) < endOfBefore {
				continue // the end of the order before
			}
			m.d.recorder.line("status rolled_back after %.1f s; it is ordered again", time.Since(orderedAt).Seconds())
			return nil, nil
		}
	}
	return nil, fmt.Errorf("the roll-out did not end")
}

// disrupt restores the store from the copy and kills all processes while it is away. The platform
// starts them again after a short delay.
func (m *movedRun) disrupt(backup *standin.Backup, drill, kill bool) error {
	if drill {
		m.d.recorder.line("drill: the store is away")
		m.d.store.Set(func() { m.d.store.Down = true })
	}
	time.Sleep(storeDownTime / 4)
	if kill {
		m.d.recorder.line("all processes are killed")
		for _, n := range m.d.nodes {
			n.kill()
		}
	}
	time.Sleep(storeDownTime * 3 / 4)
	if drill {
		m.d.store.Restore(backup, 300*time.Millisecond)
		m.d.store.Set(func() { m.d.store.Down = false })
		m.d.recorder.line("the store is back from its copy")
	}
	time.Sleep(restartDelay)
	if kill {
		for _, n := range m.d.nodes {
			if err := m.d.start(n); err != nil {
				return err
			}
		}
		m.d.recorder.line("all processes have started again")
	}
	return nil
}

func (m *movedRun) reportStatus() {
	status, err := m.d.store.ReadRolloutStatus(movedService)
	m.d.recorder.line("status of the roll-out: %s of %s, error %v", status.State, status.Target, err)
	m.d.recorder.line("the nodes' record: %s", m.d.store.Get("rollouts/"+movedService))
	for _, s := range m.new {
		s.Set(func() { m.d.recorder.line("server %s ran %d requests", s.ID, len(s.Executions)) })
	}
}

// served returns the share of the requests sent in a time that a server has answered.
func (m *movedRun) served(from, until time.Duration) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	all, served := 0, 0
	for _, got := range m.answers {
		if got.sentAt < from || got.sentAt > until {
			continue
		}
		all++
		if got.status == http.StatusOK && got.stamp != "" {
			served++
		}
	}
	m.d.recorder.line("%d of %d requests between %.1f and %.1f were served", served, all, from.Seconds(), until.Seconds())
	return float64(served) / float64(max(all, 1))
}
