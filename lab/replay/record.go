package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/lab/experiment"
	"github.com/banksail/banksail/lab/experiment/cluster"
)

// Selection selects the simulated run and the node to record. Description is copied to
// the trace's header.
type Selection struct {
	experiment.Selection
	Seed        uint64
	Node        int
	Description string
}

// WriteTrace runs one simulation of the experiment file and writes a trace of the events
// and actions of one node's dispatcher.
func WriteTrace(out io.Writer, file *experiment.File, selection Selection) error {
	chosen, err := file.Select(selection.Selection)
	if err != nil {
		return err
	}
	writer := &writer{out: bufio.NewWriter(out), node: selection.Node}
	tracedPolicy := chosen.Policy
	newMachine := tracedPolicy.New
	tracedPolicy.New = func(node cluster.Node) cluster.Dispatcher {
		if node.Index == selection.Node {
			writer.writeLine(Header{
				Format:      Format,
				Version:     Version,
				Description: selection.Description,
				Seed:        node.Seed,
				Zone:        node.Zone,
				Options:     chosen.Options,
			})
		}
		return newMachine(node)
	}
	cluster.Run(chosen.Scenario, tracedPolicy, selection.Seed, writer.writeRecord)
	if writer.err != nil {
		return writer.err
	}
	return writer.out.Flush()
}

// writer writes the trace of one node and keeps the first error.
type writer struct {
	out  *bufio.Writer
	node int
	err  error
}

func (w *writer) writeRecord(node int, now time.Duration, event dispatch.Event, actions []dispatch.Action) {
	if node != w.node || w.err != nil {
		return
	}
	record := Record{At: now}
	if record.Event, w.err = wrapEvent(event); w.err != nil {
		return
	}
	if record.Actions, w.err = encodeActions(actions); w.err != nil {
		return
	}
	w.writeLine(record)
}

func (w *writer) writeLine(value any) {
	text, err := json.Marshal(value)
	if err == nil {
		_, err = w.out.Write(append(text, '\n'))
	}
	if w.err == nil {
		w.err = err
	}
}
