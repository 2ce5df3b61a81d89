package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/lab/history"
)

const (
	// pauseCheckInterval is the time between two reads of the clock. After a pause of the soak's
	// own process of more than maxPause its observations are in doubt, so all nodes are recorded as
	// frozen for that time.
	pauseCheckInterval = 20 * time.Millisecond
	maxPause           = 250 * time.Millisecond
)

// watchPauses measures the pauses of the soak's own process until ctx ends.
func (f *fleet) watchPauses(ctx context.Context) {
	for last := f.recorder.Now(); clock.Sleep(ctx, pauseCheckInterval) == nil; last = f.recorder.Now() {
		pause := f.recorder.Now() - last - pauseCheckInterval
		f.mutex.Lock()
		f.longestPause = max(f.longestPause, pause)
		f.mutex.Unlock()
		if pause > maxPause {
			f.recordDisturbanceOfAll(history.Frozen, last, f.recorder.Now())
		}
	}
}

// memoryCheckInterval is the time between two readings of a process's memory.
const memoryCheckInterval = 20 * time.Millisecond

// watchMemory compares the memory of all processes with their limit until ctx ends. It records one
// violation for each process.
func (f *fleet) watchMemory(ctx context.Context) {
	reported := make(map[*process]bool)
	for clock.Sleep(ctx, memoryCheckInterval) == nil {
		for _, n := range f.allNodes() {
			p := n.current()
			if p == nil || reported[p] {
				continue
			}
			memoryKB, err := processMemory(p.command.Process.Pid)
			if err != nil {
				continue // the process has just exited
			}
			f.mutex.Lock()
			f.memorySamples++
			f.mutex.Unlock()
			if limit := f.options.MemoryMB; memoryKB > limit<<10 {
				reported[p] = true
				f.addViolation(Memory, n.name, "%d kB at %s, limit %d MB", memoryKB, f.recorder.Now(), limit)
			}
		}
	}
}

// waitUntil waits until the given time since the start of the soak.
func waitUntil(ctx context.Context, recorder *history.Recorder, until time.Duration) error {
	return clock.Sleep(ctx, until-recorder.Now())
}

// errorList collects the errors of several goroutines.
type errorList struct {
	mutex  sync.Mutex
	errors []error
}

func (l *errorList) add(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.errors = append(l.errors, err)
}

func (l *errorList) err() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return errors.Join(l.errors...)
}

// resources are resources that a process holds: open file descriptors and resident memory.
type resources struct {
	openFiles, memoryKB int
}

const (
	// maxExtraOpenFiles and maxExtraMemoryKB are the maximum increases over the resources that the
	// first processes held before the first fault, measured when the nodes are idle.
	maxExtraOpenFiles = 150
	maxExtraMemoryKB  = 60_000
	// checkedResources is the number of resources that are compared.
	checkedResources = 2
	// idleTime is the time between the end of the load and the measurement, in which idle
	// connections close.
	idleTime = 2 * time.Second
)

// measureResources raises maximum to the greatest resources that any process holds now.
func (f *fleet) measureResources(maximum *resources) {
	for _, n := range f.allNodes() {
		p := n.current()
		if p == nil {
			continue
		}
		held, err := processResources(p.command.Process.Pid)
		if err != nil {
			continue // the process has just exited
		}
		maximum.openFiles = max(maximum.openFiles, held.openFiles)
		maximum.memoryKB = max(maximum.memoryKB, held.memoryKB)
	}
}

// processResources reads the resources that a process holds from /proc.
func processResources(pid int) (held resources, err error) {
	openFiles, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return held, err
	}
	held.openFiles = len(openFiles)
	held.memoryKB, err = processMemory(pid)
	return held, err
}

// processMemory reads the resident memory of a process, in KiB, from /proc.
func processMemory(pid int) (memoryKB int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(status) {
		if rest, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			memoryKB, err = strconv.Atoi(string(bytes.Fields(rest)[0]))
		}
	}
	return memoryKB, err
}

// checkResources compares the resources that processes hold after the load has ended with those
// before the first fault.
func (f *fleet) checkResources() {
	time.Sleep(idleTime)
	var after resources
	f.measureResources(&after)
	if after.openFiles > f.initialResources.openFiles+maxExtraOpenFiles {
		f.addViolation(Resources, "descriptors", "%d before, %d after", f.initialResources.openFiles, after.openFiles)
	}
	if after.memoryKB > f.initialResources.memoryKB+maxExtraMemoryKB {
		f.addViolation(Resources, "memory", "%d kB before, %d kB after", f.initialResources.memoryKB, after.memoryKB)
	}
}
