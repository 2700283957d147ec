// Command cases runs the scripts of the review. Each case starts the project's own program as separate processes on loopback addresses,
// beside a stand-in store, stand-in engines and clients that run in this process.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 115 * time.Second

// errBroken means that a rule was broken. Every other error means that the case could not run.
var errBroken = errors.New("rule broken")

var cases = map[string]func(*bed) error{
	"tunnel-end": tunnelEnd,
	"attempts":   tooManyEngines,
	"revoked":    revokedKey,
	"denied":     deniedPrompts,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return exitNotRun
	}
	bd, err := newBed(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer bd.close()
	done := make(chan error, 1)
	go func() { done <- play(bd) }()
	select {
	case err = <-done:
	case <-time.After(maxDuration):
		err = errors.New("the case took too long")
	}
	switch {
	case errors.Is(err, errBroken):
		bd.note("RULE BROKEN: %v", err)
		return exitBroken
	case err != nil:
		bd.note("the case could not run: %v", err)
		return exitNotRun
	}
	bd.note("the rule held")
	return exitHeld
}
