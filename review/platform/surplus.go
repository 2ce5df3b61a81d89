//go:build review

package main

import "time"

func init() { scenarios["surplus"] = playSurplus }

// playSurplus: requests that must not be repeated, at a service whose servers are full now and
// then. The disruption: 15 of 100 refusals, some 5 of 100 answers, come a second time, late.
func playSurplus(w *world) ([]string, error) {
	w.zones = []string{"zone-a", "zone-b"}
	if err := w.startStore(); err != nil {
		return nil, err
	}
	share := 0.0
	if w.trouble {
		share = 0.15
	}
	options := serverOptions{service: "docket", slots: 2, queue: 2, workTime: 10 * time.Millisecond, surplusShare: share}
	if err := w.startServers(options, 2); err != nil {
		return nil, err
	}
	fetch := requestKind{name: "notice-fetch", method: "POST", prefix: "/notices/", deadline: 2 * time.Second, bodyBytes: 300}
	w.putConfig(3, []map[string]any{fetch.route("docket", 1, 400, 2)}, map[string]int{"docket": 60})
	if err := w.startNodes(8); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w.addClients(14, fetch, 0)
	for _, c := range w.clients {
		c.wave = 150 * time.Millisecond
	}
	w.runClients(80 * time.Second)
	return broken(w.log.list(), w.kinds), nil
}
