// Command review-2 plays the scripted cases of the second review. Each starts the project's node
// as separate processes, with stand-ins for the store, the upstreams and the clients.
//
// Usage: review-2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"leave":   playLeave,
	"foreign": playForeign,
	"path":    playPath,
	"blob":    playBlob,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitNotRun
	}
	rec := newRecord()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.close()
	if err != nil {
		rec.add("error", "%v", err)
	} else if broken {
		rec.add("result", "the rule was broken")
	} else {
		rec.add("result", "the rule held")
	}
	if writeErr := rec.write(os.Args[2]); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
