//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { scenarios["chaos"] = playChaos }

// playChaos: all kinds of requests and of faults at once.
func playChaos(w *world) ([]string, error) {
	w.zones = []string{"zone-a", "zone-b"}
	if err := w.startStore(); err != nil {
		return nil, err
	}
	names := []string{"", "", "lost", "reset", "cut", "cutreset", "garbage", "twice", "more", "late", "unframed", "unframedreset", "interim", "closing", "slow", "hang", "early"}
	faults := func() string {
		if w.trouble && rand.Float64() < 0.08 {
			return names[rand.IntN(len(names))]
		}
		return ""
	}
	services := map[string]int{"docket": 60, "mailroom": 60}
	for _, name := range []string{"docket", "mailroom"} {
		if err := w.startServers(serverOptions{service: name, slots: 2, queue: 2, workTime: 30 * time.Millisecond, faults: faults}, 3); err != nil {
			return nil, err
		}
	}
	var parts []string
	for number := range 8 {
		name := fmt.Sprintf("shard-%d", number)
		parts = append(parts, name)
		services[name] = 40
		if err := w.startServers(serverOptions{service: name, slots: 4, queue: 6, workTime: 8 * time.Millisecond, faults: faults, partBytes: partLength}, 2); err != nil {
			return nil, err
		}
	}
	fetch := requestKind{name: "notice-fetch", method: "POST", prefix: "/notices/", deadline: 2 * time.Second, bodyBytes: 300}
	long := requestKind{name: "long-entry", method: "POST", prefix: "/long/", deadline: 2 * time.Second, bodyBytes: 200000}
	look := requestKind{name: "look-up", method: "GET", prefix: "/look/", deadline: 2 * time.Second, repeatable: true}
	sweep := requestKind{name: "tender-sweep", method: "GET", prefix: "/sweep/", deadline: time.Second, repeatable: true, parts: parts, top: 20, minShare: 0.75}
	w.putConfig(3, []map[string]any{fetch.route("docket", 1, 400, 2), long.route("mailroom", 1, 400, 2), look.route("docket", 1, 400, 2), sweep.route("", 0, 100, 2)}, services)
	if err := w.startNodes(4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w.addClients(8, fetch, 30*time.Millisecond)
	w.addClients(8, long, 30*time.Millisecond)
	w.addClients(4, look, 30*time.Millisecond)
	w.addClients(10, sweep, 30*time.Millisecond)
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	length = max(length, 20)
	end := time.Now().Add(time.Duration(length) * time.Second)
	mode := os.Getenv("MODE")
	go func() {
		time.Sleep(3 * time.Second)
		for index := 0; time.Now().Before(end.Add(-8 * time.Second)); index++ {
			n := w.nodes[index%len(w.nodes)]
			switch mode {
			case "freeze":
				w.log.add("freeze", "-", n.name, "")
				n.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
				n.signal(syscall.SIGCONT)
			case "kill":
				w.log.add("kill", "-", n.name, "")
				n.signal(syscall.SIGKILL)
				<-n.ended
				_ = n.start(w.program)
			case "term":
				w.log.add("term", "-", n.name, "")
				n.stop()
				_ = n.start(w.program)
			}
			time.Sleep(2 * time.Second)
		}
	}()
	w.runClients(time.Duration(length) * time.Second)
	return broken(w.log.list(), w.kinds), nil
}
