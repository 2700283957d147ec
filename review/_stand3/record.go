package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes. Its lines begin with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (rc *record) log(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.file, "%8.3f  %s\n", time.Since(rc.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (rc *record) say(format string, args ...any) {
	rc.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// since returns the seconds from the start of the record to a time.
func (rc *record) since(at time.Time) float64 { return at.Sub(rc.start).Seconds() }
