package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/banksail/banksail/telemetry"
)

// standardInput is the file name that stands for the standard input.
const standardInput = "-"

var errRequestNotLogged = errors.New("no log line found for request")

// explainLogs prints the log lines on a request from the logs of several nodes, in order of time.
func (e *explainCommand) explainLogs(id string) subcommands.ExitStatus {
	var logs []io.Reader
	for name := range strings.SplitSeq(e.logFiles, ",") {
		if name == standardInput {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return e.reportFailure(err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	lines, unreadable, err := telemetry.ReadRequestLog(id, logs...)
	if err != nil {
		return e.reportFailure(err)
	}
	if unreadable > 0 {
		_, _ = fmt.Fprintf(e.errorOutput, "%d lines that name the request are cut or unreadable\n", unreadable)
	}
	if len(lines) == 0 {
		return e.reportFailure(fmt.Errorf("%w %s; a successful request is logged only if its ID is in the sample", errRequestNotLogged, id))
	}
	for _, line := range lines {
		e.printLogLine(line)
	}
	return subcommands.ExitSuccess
}

// printLogLine prints one log line and a table of the request's attempts, if the line has any.
func (e *explainCommand) printLogLine(line telemetry.RequestLogLine) {
	e.print("%s %s: %s\n", line.Time.Format("15:04:05"), line.Node, line.Message)
	if line.Result == "" {
		e.print("  status %d, because %s\n", line.Status, line.Reason)
		return
	}
	e.print("  route %s, table %d: %s after %.1f ms, because %s\n", line.Route, line.Version, line.Result, line.ElapsedMillis, line.Reason)
	e.print("  %d shards missing; %d sends, of them %d hedges and %d retries; what was believed of servers was %.0f ms old\n",
		line.Missing, line.Sends, line.Hedges, line.Retries, line.ViewAgeMillis)
	if len(line.Attempts) == 0 {
		return
	}
	table := tabwriter.NewWriter(e.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  SENT\tENDED\tKIND\tSERVICE\tSERVER\tEND\tSLOWNESS\tIN FLIGHT")
	for _, attempt := range line.Attempts {
		_, _ = fmt.Fprintf(table, "  %.1f ms\t%s\t%s\t%s\t%s\t%s\t%.2f\t%d\n",
			attempt.SentMillis, endTimeText(attempt), attempt.Kind, attempt.Service, attempt.Server, attempt.Outcome, attempt.Slowness, attempt.InFlight)
	}
	_ = table.Flush()
}

// endTimeText returns the time at which the attempt ended, or "" if it has not ended.
func endTimeText(attempt telemetry.LoggedAttempt) string {
	if attempt.EndedMillis == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f ms", attempt.EndedMillis)
}
