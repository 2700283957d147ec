// Package hangup keeps a hang-up signal from ending the process while it starts.
//
// It needs nothing but the signals of the standard library, so it is initialised among the first packages. Only the few
// milliseconds of the runtime's own start are left.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// early takes hang-ups from the beginning of the process. Nobody reads it: the settings are read later anyway.
var earlySignals = make(chan os.Signal, 1)

func init() { signal.Notify(earlySignals, syscall.SIGHUP) }

// Release lets a hang-up end the process again, for commands that end with their terminal.
func RestoreDefault() { signal.Stop(earlySignals) }
