//go:build review2

// Command standins-2 plays the cases of the second independent review: it starts the stand-ins of the
// platform and the node program as separate processes, sends requests, and judges what was seen.
//
// It is built with the tag review2 and is no part of the project's build or tests. Exit codes: 0, the
// rule held; 1, it was broken; 2, the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs one case. It reports whether the rule was broken.
type play func(r *recorder, trouble bool) (broken bool, err error)

func main() {
	plays := map[string]play{"refused": playRefused, "rollout": playRollout, "crash": playCrash}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(play play, recordPath string) int {
	r, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("trouble: %t", trouble)
	time.AfterFunc(caseLimit, func() {
		r.line("the case took too long")
		killAllProcesses()
		os.Exit(exitNotRun)
	})
	broken, err := play(r, trouble)
	killAllProcesses()
	switch {
	case err != nil:
		r.line("not run: %v", err)
		return exitNotRun
	case broken:
		r.line("result: the rule was broken")
		return exitBroken
	default:
		r.line("result: the rule held")
		return exitHeld
	}
}
