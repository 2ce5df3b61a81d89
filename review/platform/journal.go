//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is something that a client, a server or the platform has seen.
type event struct {
	at            time.Duration
	kind, id, who string
	text          string
}

// journal collects the events of all parties.
type journal struct {
	began time.Time

	mutex  sync.Mutex
	events []event
}

func newJournal() *journal { return &journal{began: time.Now()} }

func (j *journal) add(kind, id, who, text string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.events = append(j.events, event{time.Since(j.began), kind, id, who, text})
}

// sinceStart returns the time on the journal's clock.
func (j *journal) sinceStart() time.Duration { return time.Since(j.began) }

// list returns the events so far.
func (j *journal) list() []event {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]event(nil), j.events...)
}

// write writes all events, and a summary at the end, to a file.
func (j *journal) write(path string, summary []string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(file)
	for _, e := range j.list() {
		_, _ = fmt.Fprintf(out, "%9.4f %-8s %s %s %s\n", e.at.Seconds(), e.kind, e.id, e.who, e.text)
	}
	for _, line := range summary {
		_, _ = fmt.Fprintln(out, line)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return file.Close()
}
