package cmd

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct {
	*options `no-flag:"true"`
}

// Execute prints the module's version and the Go version that built it.
func (vc *versionCommand) Execute([]string) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	fmt.Fprintf(vc.out, "silvermount %s (%s)\n", version, goVersion)
	return nil
}
