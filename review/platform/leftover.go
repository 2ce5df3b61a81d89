//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["leftover"] = playLeftover }

// playLeftover: clients send entries with a body of some length on two routes, in turn. The
// disruption: a new configuration removes one of the two. Its requests may then get 404; the
// other route is in every configuration, so its requests may not be denied.
func playLeftover(w *world) ([]string, error) {
	w.zones = []string{"zone-a", "zone-b"}
	if err := w.startStore(); err != nil {
		return nil, err
	}
	if err := w.startServers(serverOptions{service: "ledger", slots: 3, queue: 12, workTime: 5 * time.Millisecond}, 5); err != nil {
		return nil, err
	}
	kept := requestKind{name: "batch-entry", method: "POST", prefix: "/entries/", deadline: 2 * time.Second, bodyBytes: 60_000}
	removed := requestKind{name: "old-entry", method: "POST", prefix: "/old-entries/", deadline: 2 * time.Second, bodyBytes: 60_000}
	services := map[string]int{"ledger": 110}
	w.putConfig(3, []map[string]any{kept.route("ledger", 1, 400, 2), removed.route("ledger", 1, 400, 2)}, services)
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w.addClients(10, kept, 100*time.Millisecond)
	w.kinds = append(w.kinds, removed)
	for _, c := range w.clients {
		c.kinds = []requestKind{kept, removed}
	}
	if w.trouble {
		time.AfterFunc(10*time.Second, func() {
			w.log.add("config", "5", "operator", "removes the route of "+removed.name)
			w.putConfig(5, []map[string]any{kept.route("ledger", 1, 400, 2)}, services)
		})
	}
	w.runClients(30 * time.Second)
	return append(broken(w.log.list(), w.kinds), denied(w.log.list(), kept.name)...), nil
}

// denied checks the rule DENIED for the requests of a kind that every configuration allows: more
// than 5 and one in 500 of all requests are ended with a 3xx or 4xx other than 408, 421 and 429.
func denied(events []event, kind string) []string {
	all, refused := 0, 0
	statuses := make(map[string]int)
	for _, e := range events {
		switch {
		case e.kind == "sent":
			all++
		case e.kind == "answer" && e.who == kind:
			status, _, _ := strings.Cut(e.text, " ")
			own := status[0] == '3' || status[0] == '4'
			if own && status != "408" && status != "421" && status != "429" {
				refused++
				statuses[status]++
			}
		}
	}
	if float64(refused) <= 5+float64(all)/500 {
		return nil
	}
	return []string{fmt.Sprintf("DENIED %d proper requests of %d in all were ended with %v; %.1f are borne", refused, all, statuses, 5+float64(all)/500)}
}
