//go:build review3

// Command standins-3 plays the cases 7 and 8 of the second independent review: it starts servers and
// the node program as separate processes, plays the platform and the clients, and judges what was
// seen. The store is the project's own stand-in.
//
//	standins-3 large-bodies | crash-loop    plays a case; TROUBLE=0 leaves the disruption out
//	standins-3 server FLAGS                 is one server
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
	name := ""
	if len(os.Args) > 1 {
		name = os.Args[1]
	}
	switch name {
	case "large-bodies":
		os.Exit(playLargeBodies())
	case "crash-loop":
		os.Exit(playCrashLoop())
	case serverCommand:
		os.Exit(serve(os.Args[2:]))
	default:
		_, _ = fmt.Fprintf(os.Stderr, "unknown command %q\n", name)
		os.Exit(exitCannotRun)
	}
}

func cannotRun(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	return exitCannotRun
}

// hasTrouble reports whether the case is played with its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
