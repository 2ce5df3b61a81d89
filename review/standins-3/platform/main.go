//go:build review3

// Command standins-3 plays two cases of the second independent review: it starts servers and the node
// program as separate processes, plays the platform and the clients, and judges what was seen. The
// store is the project's own stand-in.
//
//	standins-3 CASE RECORD      plays a case (large-bodies or crash-loop); TROUBLE=0 leaves the disruption out
//	standins-3 server FLAGS     is one server
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == serverCommand {
		os.Exit(serve(os.Args[2:]))
	}
	cases := map[string]func(recordPath string) (exitCode int){"large-bodies": playLargeBodies, "crash-loop": playCrashLoop}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(cases[os.Args[1]](os.Args[2]))
}

func cannotRun(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	return exitCannotRun
}

// hasTrouble reports whether the case is played with its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
