//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["flood"] = playFlood }

const (
	// memoryLimit is the memory_mb of the settings, in KiB.
	memoryLimit = 284 << 10
	// linkBytes is what the link of a faulty server carries in a second: 1,000 Mbit.
	linkBytes = 125_000_000
	// restartDelay is how long the platform waits before it starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// link bounds the bytes that a server sends in a second.
type link struct {
	mutex sync.Mutex
	free  time.Time
}

// wait returns when a number of bytes has passed the link.
func (l *link) wait(bytes int) {
	l.mutex.Lock()
	l.free = maxTime(l.free, time.Now()).Add(time.Duration(float64(bytes) / linkBytes * float64(time.Second)))
	free := l.free
	l.mutex.Unlock()
	time.Sleep(time.Until(free))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendNoAnswer sends bytes that are not an answer until the connection is closed. It returns their
// number.
func (l *link) sendNoAnswer(conn net.Conn) (length int) {
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = 'x'
	}
	for {
		l.wait(len(block))
		written, err := conn.Write(block)
		length += written
		if err != nil {
			return length
		}
	}
}

// memory returns the resident memory of a node's process in KiB; zero if it has ended.
func (n *node) memory() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if size, found := strings.CutPrefix(line, "VmRSS:"); found {
			kibibytes := 0
			_, _ = fmt.Sscan(size, &kibibytes)
			return kibibytes
		}
	}
	return 0
}

// holdToLimit kills a node's process whenever it is over its memory, as the platform does, and
// starts it again after a short delay, until the end is closed. It returns how often it did so.
func (w *world) holdToLimit(n *node, end <-chan struct{}) (kills, peak int) {
	for {
		select {
		case <-end:
			return kills, peak
		case <-time.After(20 * time.Millisecond):
		}
		size := n.memory()
		peak = max(peak, size)
		if size <= memoryLimit {
			continue
		}
		kills++
		w.log.add("over", "-", n.name, fmt.Sprintf("%d MB, killed", size>>10))
		n.signal(syscall.SIGKILL)
		<-n.ended
		time.Sleep(restartDelay)
		_ = n.start(w.program)
	}
}

// playFlood: entries that must not be repeated. The disruption: two servers of five send
// bytes that are not an answer in place of a part of their answers.
func playFlood(w *world) ([]string, error) {
	w.zones = []string{"zone-a", "zone-b"}
	if err := w.startStore(); err != nil {
		return nil, err
	}
	options := serverOptions{service: "member-ledger", slots: 3, queue: 12, workTime: 90 * time.Millisecond}
	if err := w.startServers(options, 5); err != nil {
		return nil, err
	}
	faulty := w.servers[:2] // one in each zone
	for _, s := range faulty {
		if w.trouble {
			s.link, s.noAnswerShare = new(link), 0.04
		}
	}
	entry := requestKind{name: "return-entry", method: "POST", prefix: "/returns/", deadline: 6 * time.Second, bodyBytes: 300}
	w.putConfig(3, []map[string]any{entry.route("member-ledger", 1, 400, 2)}, map[string]int{"member-ledger": 110})
	if err := w.startNodes(4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w.addClients(24, entry, 250*time.Millisecond)
	end := make(chan struct{})
	kills, peaks := make([]int, len(w.nodes)), make([]int, len(w.nodes))
	var watching sync.WaitGroup
	for index, n := range w.nodes {
		watching.Go(func() { kills[index], peaks[index] = w.holdToLimit(n, end) })
	}
	w.runClients(50 * time.Second)
	close(end)
	watching.Wait()
	lines := broken(w.log.list(), w.kinds)
	three := 0
	for index, n := range w.nodes {
		w.log.add("ends", "-", n.name, fmt.Sprintf("%d times over the limit, peak %d MB", kills[index], peaks[index]>>10))
		fmt.Println(n.name, kills[index], "times over the limit, peak", peaks[index]>>10, "MB")
		if kills[index] >= 3 {
			three++
		}
	}
	if three >= 2 {
		lines = append(lines, fmt.Sprintf("FAULT processes went over memory_mb three times or more on %d of %d machines: %v", three, len(w.nodes), kills))
	}
	if lost := cutAtSoundServers(w.log.list(), faulty); len(lost) > 3 {
		lines = append(lines, fmt.Sprintf("LOST %d requests from kept connections were passed on to sound servers, and got no answer: %s", len(lost), strings.Join(lost, ", ")))
	}
	return lines, nil
}

// cutAtSoundServers returns the requests from kept connections that a sound server ran and whose
// connection ended without an answer.
func cutAtSoundServers(events []event, faulty []*server) (ids []string) {
	kept, ran := make(map[string]bool), make(map[string]bool)
	for _, e := range events {
		switch {
		case e.kind == "sent":
			kept[e.id] = strings.HasSuffix(e.text, "kept connection")
		case e.kind == "ran" && !slices.ContainsFunc(faulty, func(s *server) bool { return s.id == e.who }):
			ran[e.id] = true
		case e.kind == "lost" && kept[e.id] && ran[e.id] && !strings.Contains(e.text, "timeout"):
			ids = append(ids, e.id)
		}
	}
	return ids
}
