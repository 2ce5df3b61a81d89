package history

import (
	"fmt"
	"sort"
	"time"
)

// Join merges the journals of one run into a history whose times count from the
// earliest time in the journals. It returns ErrInvalidJournal for an event of
// unknown kind and for one that ends something that has not begun.
func Join(journals ...[]Entry) (*History, error) {
	j := &joiner{history: &History{}, nodeByAddress: make(map[string]string)}
	for _, entries := range journals {
		j.addJournal(entries)
	}
	if err := j.applyEvents(); err != nil {
		return nil, err
	}
	j.resolveNodeNames()
	j.rebase()
	return j.history, nil
}

// joiner builds a history from journals.
type joiner struct {
	history *History
	events  []Event
	// lastCall is the highest call ID assigned so far.
	lastCall CallID
	// nodeByAddress maps caller addresses to node names.
	nodeByAddress map[string]string
}

// addJournal adds the entries of one journal. Call IDs are unique only within a
// journal, so they are offset by the highest ID assigned before.
func (j *joiner) addJournal(entries []Entry) {
	base := j.lastCall
	for _, entry := range entries {
		switch {
		case entry.KeySpace != nil:
			j.history.KeySpaces = append(j.history.KeySpaces, *entry.KeySpace)
		case entry.Call != nil:
			call := *entry.Call
			call.ID += base
			j.lastCall = max(j.lastCall, call.ID)
			j.history.Calls = append(j.history.Calls, call)
		case entry.Answer != nil:
			answer := *entry.Answer
			answer.Call += base
			j.history.Answers = append(j.history.Answers, answer)
		case entry.Attempt != nil:
			j.history.Attempts = append(j.history.Attempts, *entry.Attempt)
		case entry.Accepted != nil:
			j.history.Accepted = append(j.history.Accepted, *entry.Accepted)
		case entry.InForce != nil:
			j.history.InForce = append(j.history.InForce, *entry.InForce)
		case entry.Confirmation != nil:
			j.history.Confirmations = append(j.history.Confirmations, *entry.Confirmation)
		case entry.Event != nil:
			j.events = append(j.events, *entry.Event)
		}
	}
}

// applyEvents converts events, in order of time, to runs, disturbances and
// leaving servers.
func (j *joiner) applyEvents() error {
	sort.SliceStable(j.events, func(one, other int) bool { return j.events[one].At < j.events[other].At })
	for _, event := range j.events {
		if err := j.apply(event); err != nil {
			return fmt.Errorf("%w: event %s of %q at %d ns: %w", ErrInvalidJournal, event.Kind, event.Subject, event.At, err)
		}
	}
	return nil
}

func (j *joiner) apply(event Event) error {
	switch event.Kind {
	case EventNodeStarted:
		j.nodeByAddress[event.Address] = event.Subject
		j.history.Runs = append(j.history.Runs, NodeRun{Node: event.Subject, Start: event.At})
		return nil
	case EventNodeStopRequested, EventNodeEnded, EventNodeKilled:
		return j.changeRun(event)
	case EventNodeFrozen:
		j.history.Disturbances = append(j.history.Disturbances, Disturbance{Kind: Frozen, Host: event.Subject, From: event.At})
		return nil
	case EventNodeThawed:
		return j.endDisturbance(event)
	case EventServerLeaving:
		j.history.Leaving = append(j.history.Leaving, ServerLeaving{Server: event.Subject, At: event.At})
		return nil
	case EventServerReturned:
		return j.endLeaving(event)
	case EventFaultsEnded:
		j.history.FaultsEnd = event.At
		return nil
	default:
		return errUnknownEvent
	}
}

// changeRun applies an event to the current run of its node.
func (j *joiner) changeRun(event Event) error {
	for index := range j.history.Runs {
		run := &j.history.Runs[index]
		if run.Node != event.Subject || run.End != 0 {
			continue
		}
		switch event.Kind {
		case EventNodeStopRequested:
			run.StopRequestedAt = event.At
		default:
			run.End = event.At
			run.Killed = event.Kind == EventNodeKilled
		}
		return nil
	}
	return errNoMatchingStart
}

func (j *joiner) endDisturbance(event Event) error {
	for index := range j.history.Disturbances {
		disturbance := &j.history.Disturbances[index]
		if disturbance.Host == event.Subject && disturbance.To == 0 {
			disturbance.To = event.At
			return nil
		}
	}
	return errNoMatchingStart
}

func (j *joiner) endLeaving(event Event) error {
	for index := range j.history.Leaving {
		leaving := &j.history.Leaving[index]
		if leaving.Server == event.Subject && leaving.Until == 0 {
			leaving.Until = event.At
			return nil
		}
	}
	return errNoMatchingStart
}

// resolveNodeNames replaces node addresses in calls by node names.
func (j *joiner) resolveNodeNames() {
	for index := range j.history.Calls {
		call := &j.history.Calls[index]
		if name, ok := j.nodeByAddress[call.Node]; ok {
			call.Node = name
		}
	}
}

// rebase makes all times relative to the earliest one, sets the end of the history
// to the latest one, and ends open disturbances there.
func (j *joiner) rebase() {
	times := j.timestamps()
	var earliest, latest time.Duration
	for _, at := range times {
		if *at != 0 && (earliest == 0 || *at < earliest) {
			earliest = *at
		}
		latest = max(latest, *at)
	}
	// Zero means "not set" in a history, so the earliest time becomes 1 ns.
	earliest--
	j.history.End = latest
	for _, at := range append(times, &j.history.End) {
		if *at != 0 {
			*at -= earliest
		}
	}
	for index := range j.history.Disturbances {
		disturbance := &j.history.Disturbances[index]
		if disturbance.To == 0 {
			disturbance.To = j.history.End
		}
	}
}

// timestamps returns pointers to all times in the history.
func (j *joiner) timestamps() []*time.Duration {
	h := j.history
	times := []*time.Duration{&h.FaultsEnd}
	for index := range h.Calls {
		times = append(times, &h.Calls[index].At)
	}
	for index := range h.Answers {
		times = append(times, &h.Answers[index].At)
	}
	for index := range h.Attempts {
		times = append(times, &h.Attempts[index].SentAt, &h.Attempts[index].ArrivedAt)
	}
	for index := range h.Accepted {
		times = append(times, &h.Accepted[index].At)
	}
	for index := range h.InForce {
		times = append(times, &h.InForce[index].At)
	}
	for index := range h.Confirmations {
		times = append(times, &h.Confirmations[index].At)
	}
	for index := range h.Leaving {
		times = append(times, &h.Leaving[index].At, &h.Leaving[index].Until)
	}
	for index := range h.Runs {
		run := &h.Runs[index]
		times = append(times, &run.Start, &run.StopRequestedAt, &run.End)
	}
	for index := range h.Disturbances {
		times = append(times, &h.Disturbances[index].From, &h.Disturbances[index].To)
	}
	return times
}
