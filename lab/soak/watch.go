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
	// pauseCheckInterval is the time between two looks at the clock, and maxPause the least time
	// that the soak's own process may have stood still for its judgement to be in doubt:
	// everything is then taken for frozen so long.
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

// waitUntil waits for a time of the soak.
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

// resources are the most that a process of the fleet holds.
type resources struct {
	openFiles, memoryKB int
}

const (
	// maxExtraOpenFiles and maxExtraMemoryKB are what a process may hold beyond what the first
	// ones held before the first fault, once nothing is asked of it.
	maxExtraOpenFiles = 150
	maxExtraMemoryKB  = 60_000
	// checkedResources are those that are compared.
	checkedResources = 2
	// idleTime is the time after the load until then: idle connections close.
	idleTime = 2 * time.Second
)

// measureResources notes the most that a process holds now.
func (f *fleet) measureResources(maximum *resources) {
	for _, n := range f.allNodes() {
		p := n.current()
		if p == nil {
			continue
		}
		held, err := processResources(p.command.Process.Pid)
		if err != nil {
			continue // it has just ended
		}
		maximum.openFiles = max(maximum.openFiles, held.openFiles)
		maximum.memoryKB = max(maximum.memoryKB, held.memoryKB)
	}
}

// processResources reads what a process holds.
func processResources(pid int) (held resources, err error) {
	openFiles, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return held, err
	}
	held.openFiles = len(openFiles)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return held, err
	}
	for line := range bytes.Lines(status) {
		if rest, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			held.memoryKB, err = strconv.Atoi(string(bytes.Fields(rest)[0]))
		}
	}
	return held, err
}

// checkResources compares what processes hold once the load has ended with what they held.
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
