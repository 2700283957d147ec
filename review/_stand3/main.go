// Command review-3 runs the scripts of review/11 to review/13.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(bd *bed, trouble bool) (broken bool, err error){
	"outage":  runOutage,
	"leaving": runLeaving,
	"gone":    runGone,
}

func main() {
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Println("no such case:", flag.Arg(0))
		os.Exit(exitFailed)
	}
	os.Exit(runCase(*recordPath, run, os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case on a deployment of its own and returns the exit code.
func runCase(recordPath string, run func(*bed, bool) (bool, error), trouble bool) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	bd := newBed(rec)
	defer bd.close()
	err = bd.start()
	broken := false
	if err == nil {
		broken, err = run(bd, trouble)
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
