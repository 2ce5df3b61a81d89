// Package crowd opens crowds of connections to a process and measures what the process holds
// meanwhile.
package crowd

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Interval is the time between two measurements.
const Interval = 20 * time.Millisecond

// settleTime bounds the wait for a process to read what a crowd has sent.
const settleTime = 5 * time.Second

// Gauge measures a process until Stop.
type Gauge struct {
	pid      int
	host     net.IP
	stopping chan struct{}
	watching sync.WaitGroup

	mutex sync.Mutex
	// mutex guards the fields below.
	usage Usage
}

// Usage is the most that a process has held.
type Usage struct {
	// Resident is the resident memory in bytes, and Memory the same together with bytes that the
	// kernel has received for the process and that it has not read, which count as its memory on
	// the users' machines.
	Resident, Memory int64
	// Descriptors is the number of open descriptors.
	Descriptors int
}

// Watch measures a process that listens on an IPv4 address of its own.
func Watch(pid int, host string) *Gauge {
	g := &Gauge{pid: pid, host: net.ParseIP(host).To4(), stopping: make(chan struct{})}
	g.watching.Go(g.watch)
	return g
}

// Stop ends the measurements.
func (g *Gauge) Stop() {
	close(g.stopping)
	g.watching.Wait()
}

func (g *Gauge) watch() {
	for {
		select {
		case <-g.stopping:
			return
		case <-time.After(Interval):
		}
		g.measure()
	}
}

// Settle waits until the process has read everything that was sent to it, or has had the time to.
// It returns the most that the process has held.
func (g *Gauge) Settle() Usage {
	for deadline := time.Now().Add(settleTime); g.measure() > 0 && time.Now().Before(deadline); {
		time.Sleep(Interval)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.usage
}

// measure measures the process once, and returns the received bytes that it has not read.
func (g *Gauge) measure() (unread int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	unread = g.unreadBytes()
	g.usage.Resident = max(g.usage.Resident, g.statusBytes("VmHWM:"))
	g.usage.Memory = max(g.usage.Memory, g.usage.Resident, g.statusBytes("VmRSS:")+unread)
	if entries, err := os.ReadDir(g.path("fd")); err == nil {
		g.usage.Descriptors = max(g.usage.Descriptors, len(entries))
	}
	return unread
}

func (g *Gauge) path(name string) string { return fmt.Sprintf("/proc/%d/%s", g.pid, name) }

// statusBytes returns a field of the process's status, or zero if the process has exited.
func (g *Gauge) statusBytes(field string) int64 {
	content, err := os.ReadFile(g.path("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			kilobytes, _ := strconv.ParseInt(words[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns how many bytes the kernel has received for the process's connections that it
// has not read, or zero if it has exited.
func (g *Gauge) unreadBytes() (total int64) {
	content, err := os.ReadFile(g.path("net/tcp"))
	if err != nil {
		return 0
	}
	local := fmt.Sprintf("%08X:", binary.LittleEndian.Uint32(g.host))
	for line := range bytes.Lines(content) {
		const localField, queueField = 1, 4
		words := bytes.Fields(line)
		if len(words) <= queueField || !bytes.HasPrefix(words[localField], []byte(local)) {
			continue
		}
		_, unread, _ := bytes.Cut(words[queueField], []byte(":"))
		if number, err := hex.DecodeString(string(unread)); err == nil && len(number) == 4 {
			total += int64(binary.BigEndian.Uint32(number))
		}
	}
	return total
}
