package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// harness drives one Router and records its actions.
type harness struct {
	t                *testing.T
	now              time.Duration
	router           *routing.Router
	openSends        map[gather.AttemptID]routing.Send
	allSends         []routing.Send
	finished         map[routing.RequestID]routing.Outcome
	connects         []discovery.Server
	cannotServe      bool
	timerAt          time.Duration
	lastID           routing.RequestID
	published        []routing.PublishFinding
	quarantined      []quarantine.Fingerprint
	repeatRejections int
}

const testAim = 100 * time.Millisecond

func newHarness(t *testing.T, options routing.Options) *harness {
	t.Helper()
	options.Zone = "a"
	options.Regions = map[string]string{"a": "r", "b": "r", "far": "s"}
	if options.Budget == (extrabudget.Options{}) {
		options.Budget = extrabudget.Options{Ratio: 0.2, Fixed: 56, Window: 10 * time.Second}
	}
	h := &harness{
		t: t, router: routing.New(0, options), openSends: make(map[gather.AttemptID]routing.Send),
		finished: make(map[routing.RequestID]routing.Outcome),
	}
	h.step(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	return h
}

func (h *harness) step(event routing.Event) {
	for _, action := range h.router.Step(h.now, event) {
		switch action := action.(type) {
		case routing.Send:
			h.openSends[action.Attempt] = action
			h.allSends = append(h.allSends, action)
		case routing.Finish:
			if _, twice := h.finished[action.Request]; twice {
				h.t.Errorf("request %d got two final answers", action.Request)
			}
			h.finished[action.Request] = action.Outcome
		case routing.Connect:
			h.connects = append(h.connects, action.Server)
		case routing.ReachabilityChanged:
			if action.CanServe != h.cannotServe {
				h.t.Errorf("ReachabilityChanged repeats CanServe %v", action.CanServe)
			}
			h.cannotServe = !action.CanServe
		case routing.PublishFinding:
			h.published = append(h.published, action)
		case routing.RecordQuarantine:
			h.quarantined = append(h.quarantined, action.Content)
		case routing.QuarantinedRequestRejected:
			h.repeatRejections++
		case routing.SetTimer:
			h.timerAt = action.At
		}
	}
}

// advance moves the clock forward and fires timers that are due.
func (h *harness) advance(duration time.Duration) {
	until := h.now + duration
	for h.timerAt > 0 && h.timerAt <= until {
		h.now, h.timerAt = max(h.now, h.timerAt), 0
		h.step(routing.TimerFired{})
	}
	h.now = until
}

// servers returns count servers for each service; the first of each is in zone a.
func servers(count int, services ...string) []discovery.Server {
	var all []discovery.Server
	for _, service := range services {
		for number := range count {
			all = append(all, discovery.Server{
				ID: fmt.Sprintf("%s-%d", service, number), Service: service, Address: "x", Slots: 2,
				Zone: []string{"a", "b", "far"}[number%3],
			})
		}
	}
	return all
}

func (h *harness) setServers(all []discovery.Server) { h.step(routing.ServersChanged{Servers: all}) }

// setTable installs a table that gives all services the same connection limit.
func (h *harness) setTable(connections int, services ...string) {
	h.installTable(connections, services)
}

// setRoutes installs a table with one route and the services of its shards.
func (h *harness) setRoutes(r *route.Route) {
	named := *r
	named.Host, named.PathPrefix = "host", "/"
	h.installTable(60, r.Target.Shards, named)
}

func (h *harness) installTable(connections int, services []string, routes ...route.Route) {
	definition := route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}}
	for _, name := range services {
		definition.Services = append(definition.Services, route.Service{Name: name, Connections: connections})
	}
	definition.Routes = routes
	table, err := route.New(definition)
	if err != nil {
		h.t.Fatal(err)
	}
	h.step(routing.TableChanged{Table: table})
}

func fanOut(minimum float64, services ...string) *route.Route {
	return &route.Route{
		Name: "all", Repeatable: true, Timeout: time.Second, LatencyTarget: testAim, Attempts: 2,
		Target: route.Target{Shards: services, Top: 5, MinimumCoverage: minimum},
	}
}

func single(name string, repeatable bool) *route.Route {
	return &route.Route{
		Name: name, Repeatable: repeatable, Timeout: time.Second, LatencyTarget: testAim, Attempts: 2,
		Target: route.Target{Shares: []route.Share{{Service: name, Weight: 1}}},
	}
}

// submit makes a request arrive and returns its ID.
func (h *harness) submit(r *route.Route) routing.RequestID {
	h.lastID++
	h.step(routing.Arrived{Request: routing.Request{ID: h.lastID, Route: r, Remaining: r.Timeout}})
	return h.lastID
}

// submitTarget makes a request for a target arrive, with a fingerprint, and returns its ID.
func (h *harness) submitTarget(r *route.Route, target string) routing.RequestID {
	h.lastID++
	h.step(routing.Arrived{Request: routing.Request{
		ID: h.lastID, Route: r, Remaining: r.Timeout,
		Content: func() quarantine.Fingerprint { return quarantine.FingerprintOf("GET", "host", target, nil) },
	}})
	return h.lastID
}

// crashAll reports a server crash for each attempt of a request until none is in flight, and
// returns the number of crashes.
func (h *harness) crashAll(id routing.RequestID) (crashed int) {
	for open := h.inFlight(id); len(open) > 0; open = h.inFlight(id) {
		for _, send := range open {
			crashed++
			h.fail(send.Attempt, gather.ServerCrashed)
		}
	}
	return crashed
}

func (h *harness) reply(id gather.AttemptID, status gather.ReplyStatus) {
	h.step(routing.Replied{Attempt: id, Status: status, Body: id})
}

// inFlight returns the attempts of a request that have not been reported back.
func (h *harness) inFlight(id routing.RequestID) []routing.Send {
	var open []routing.Send
	for _, send := range h.allSends {
		if _, known := h.openSends[send.Attempt]; known && send.Request == id {
			open = append(open, send)
		}
	}
	return open
}

func (h *harness) complete(id gather.AttemptID, status gather.ReplyStatus) {
	delete(h.openSends, id)
	h.reply(id, status)
}

func (h *harness) fail(id gather.AttemptID, delivery gather.Delivery) {
	delete(h.openSends, id)
	h.step(routing.Failed{Attempt: id, Delivery: delivery, Reason: "test"})
}

// learnLatency feeds the router with answers of the given latency.
func (h *harness) learnLatency(r *route.Route, latency time.Duration) {
	for range 30 {
		id := h.submit(r)
		h.advance(latency)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
		h.advance(10 * time.Millisecond)
	}
}
