// Command review-2 holds the stand-ins of the second review and plays its cases: a store, engines, clients and proxies on loopback
// addresses, around real processes of the system.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (int, error){
	"silent-store": playSilentStore,
	"restart":      playRestart,
	"last-tenant":  playLastTenant,
	"hot-request":  playHotRequest,
	"older-copy":   playOlderCopy,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	rec := &record{file: file, start: time.Now()}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("not run: %v", err)
		code = notRun
	}
	file.Close()
	os.Exit(code)
}
