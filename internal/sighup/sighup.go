// Package sighup keeps the signal SIGHUP from terminating the process while it starts.
//
// It imports nothing but packages of the standard library for signals, so that it is initialised among the first packages. The
// process remains unprotected only for the few milliseconds in which the Go runtime starts.
package sighup

import (
	"os"
	"os/signal"
	"syscall"
)

// earlySignals receives SIGHUP from the start of the process. It is never read: a SIGHUP asks the process to reload its settings,
// which are read during the start anyway.
var earlySignals = make(chan os.Signal, 1)

func init() { signal.Notify(earlySignals, syscall.SIGHUP) }

// RestoreDefault lets SIGHUP terminate the process again, for commands that are to end with their terminal.
func RestoreDefault() { signal.Stop(earlySignals) }
