package config

import (
	"fmt"
	"slices"
	"strings"
)

// documentPath is the path of faults that concern the whole document.
const documentPath = "(document)"

// Fault is a validation error of one value of the settings or of a bundle.
type Fault struct {
	// Path is the JSON path of the value, such as callers.listen.
	Path string
	// Value describes the value that was found.
	Value string
	// Want describes the values that are valid.
	Want string
}

// Error returns the path, the value found and what is expected, on one line.
func (ft *Fault) Error() string {
	return fmt.Sprintf("%s: found %q, want %s", ft.Path, ft.Value, ft.Want)
}

// Faults is a list of all faults found. It is never empty when used as an error.
type Faults []*Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Covers reports whether there is a fault at the path or at a section or list that contains it. Checks of such a path are not
// meaningful, because its value may be missing.
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

// Merge returns the faults and those of a later check, except later ones at paths that the earlier faults cover.
func (fs Faults) Merge(later Faults) Faults {
	all := slices.Clone(fs)
	for _, ft := range later {
		if !fs.Covers(ft.Path) {
			all = append(all, ft)
		}
	}
	return all
}

// ErrorOrNil returns the faults as an error, or nil if there are none.
func (fs Faults) ErrorOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
