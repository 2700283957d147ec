package config

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	// Path is the JSON path of the value, such as callers.listen.
	Path string
	// Value is what was found.
	Value string
	// Want is what was expected.
	Want string
}

// Error returns the fault on one line.
func (ft *Fault) Error() string {
	return fmt.Sprintf("%s: found %q, want %s", ft.Path, ft.Value, ft.Want)
}

// Faults is all that is wrong with the settings. It is never empty when used as an error.
type Faults []*Fault

// Error returns the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults as an error, or nil when there are none.
func (fs Faults) OrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
