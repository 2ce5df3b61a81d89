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

// world drives one Router by hand.
type world struct {
	t        *testing.T
	now      time.Duration
	router   *routing.Router
	sends    map[gather.AttemptID]routing.Send
	order    []routing.Send
	finished map[routing.RequestID]routing.Outcome
	reached  []discovery.Server
	unable   bool
	wakeAt   time.Duration
	last     routing.RequestID
	told     []routing.PublishFinding
	records  []quarantine.Fingerprint
	again    int
}

const testAim = 100 * time.Millisecond

func newWorld(t *testing.T, options routing.Options) *world {
	t.Helper()
	options.Zone = "a"
	options.Regions = map[string]string{"a": "r", "b": "r", "far": "s"}
	if options.Budget == (extrabudget.Options{}) {
		options.Budget = extrabudget.Options{Ratio: 0.2, Fixed: 56, Window: 10 * time.Second}
	}
	w := &world{
		t: t, router: routing.New(0, options), sends: make(map[gather.AttemptID]routing.Send),
		finished: make(map[routing.RequestID]routing.Outcome),
	}
	w.step(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	return w
}

func (w *world) step(event routing.Event) {
	for _, action := range w.router.Step(w.now, event) {
		switch action := action.(type) {
		case routing.Send:
			w.sends[action.Attempt] = action
			w.order = append(w.order, action)
		case routing.Finish:
			if _, twice := w.finished[action.Request]; twice {
				w.t.Errorf("request %d is finished twice", action.Request)
			}
			w.finished[action.Request] = action.Outcome
		case routing.Connect:
			w.reached = append(w.reached, action.Server)
		case routing.ReachabilityChanged:
			if action.CanServe != w.unable {
				w.t.Errorf("told twice that able is %v", action.CanServe)
			}
			w.unable = !action.CanServe
		case routing.PublishFinding:
			w.told = append(w.told, action)
		case routing.RecordQuarantine:
			w.records = append(w.records, action.Content)
		case routing.QuarantinedRequestRejected:
			w.again++
		case routing.SetTimer:
			w.wakeAt = action.At
		}
	}
}

// pass lets time pass, with the wakes that fall due.
func (w *world) pass(duration time.Duration) {
	until := w.now + duration
	for w.wakeAt > 0 && w.wakeAt <= until {
		w.now, w.wakeAt = max(w.now, w.wakeAt), 0
		w.step(routing.TimerFired{})
	}
	w.now = until
}

// servers lists count servers for each service; the first is in zone a.
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

func (w *world) setServers(all []discovery.Server) { w.step(routing.ServersChanged{Servers: all}) }

// setTable puts a bound of connections in force for all services.
func (w *world) setTable(connections int, services ...string) {
	w.putTable(connections, services)
}

// setRoutes puts a table in force that holds a route over shards.
func (w *world) setRoutes(r *route.Route) {
	named := *r
	named.Host, named.PathPrefix = "host", "/"
	w.putTable(60, r.Target.Shards, named)
}

func (w *world) putTable(connections int, services []string, routes ...route.Route) {
	definition := route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}}
	for _, name := range services {
		definition.Services = append(definition.Services, route.Service{Name: name, Connections: connections})
	}
	definition.Routes = routes
	table, err := route.New(definition)
	if err != nil {
		w.t.Fatal(err)
	}
	w.step(routing.TableChanged{Table: table})
}

func fanOut(minimum float64, services ...string) *route.Route {
	return &route.Route{
		Name: "all", Repeatable: true, Timeout: time.Second, Aim: testAim, Attempts: 2,
		Target: route.Target{Shards: services, Top: 5, MinimumCoverage: minimum},
	}
}

func single(name string, repeatable bool) *route.Route {
	return &route.Route{
		Name: name, Repeatable: repeatable, Timeout: time.Second, Aim: testAim, Attempts: 2,
		Target: route.Target{Shares: []route.Share{{Service: name, Weight: 1}}},
	}
}

// ask lets a request arrive and returns its ID.
func (w *world) ask(r *route.Route) routing.RequestID {
	w.last++
	w.step(routing.Arrived{Request: routing.Request{ID: w.last, Route: r, Remaining: r.Timeout}})
	return w.last
}

// askFor lets a request for a target arrive and returns its ID.
func (w *world) askFor(r *route.Route, target string) routing.RequestID {
	w.last++
	w.step(routing.Arrived{Request: routing.Request{
		ID: w.last, Route: r, Remaining: r.Timeout,
		Content: func() quarantine.Fingerprint { return quarantine.FingerprintOf("GET", "host", target, nil) },
	}})
	return w.last
}

// endAll ends the servers of all attempts of a request, until none is left, and counts them.
func (w *world) endAll(id routing.RequestID) (ended int) {
	for open := w.open(id); len(open) > 0; open = w.open(id) {
		for _, send := range open {
			ended++
			w.fail(send.Attempt, gather.ServerCrashed)
		}
	}
	return ended
}

func (w *world) reply(id gather.AttemptID, status gather.ReplyStatus) {
	w.step(routing.Replied{Attempt: id, Status: status, Body: id})
}

// open lists the attempts of a request that are not reported back.
func (w *world) open(id routing.RequestID) []routing.Send {
	var open []routing.Send
	for _, send := range w.order {
		if _, known := w.sends[send.Attempt]; known && send.Request == id {
			open = append(open, send)
		}
	}
	return open
}

func (w *world) end(id gather.AttemptID, status gather.ReplyStatus) {
	delete(w.sends, id)
	w.reply(id, status)
}

func (w *world) fail(id gather.AttemptID, delivery gather.Delivery) {
	delete(w.sends, id)
	w.step(routing.Failed{Attempt: id, Delivery: delivery, Reason: "test"})
}

// warm teaches the router the usual latency of a route.
func (w *world) warm(r *route.Route, latency time.Duration) {
	for range 30 {
		id := w.ask(r)
		w.pass(latency)
		for _, send := range w.open(id) {
			w.end(send.Attempt, gather.ReplyDone)
		}
		w.pass(10 * time.Millisecond)
	}
}
