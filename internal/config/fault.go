package config

import (
	"fmt"
	"slices"
	"strings"
)

// documentPath is the path of a fault of the whole document.
const documentPath = "(document)"

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

// Covers reports whether a fault was found at the path or at a part of the settings that holds it. What a check says of
// such a path is not to be relied on.
func (fs Faults) Covers(path string) bool {
	return slices.ContainsFunc(fs, func(ft *Fault) bool { return ft.covers(path) })
}

func (ft *Fault) covers(path string) bool {
	if ft.Path == documentPath || ft.Path == path {
		return true
	}
	below, ok := strings.CutPrefix(path, ft.Path)
	return ok && strings.ContainsAny(below[:1], ".[")
}

// With returns the faults and those of a later check, but for those at paths that the faults cover.
func (fs Faults) Merge(later Faults) Faults {
	all := slices.Clone(fs)
	for _, ft := range later {
		if !fs.Covers(ft.Path) {
			all = append(all, ft)
		}
	}
	return all
}

// OrNil returns the faults as an error, or nil when there are none.
func (fs Faults) ErrorOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
