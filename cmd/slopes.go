package cmd

import (
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/controlcost"
)

type slopesCommand struct {
	*options  `no-flag:"true"`
	Instances []int  `long:"instances" default:"2" default:"4" default:"8" default:"16" default:"32" description:"sizes of fleet to measure"`
	JSON      string `long:"json" description:"file for the figures"`
}

// Execute measures the cost of control for each fleet size.
func (sc *slopesCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	lg := sc.logger()
	lg.Level = max(lg.Level, log.FatalLevel)
	report, err := controlcost.Run(ctx, controlcost.Options{Instances: sc.Instances, Progress: sc.out, Log: lg})
	if err != nil {
		return err
	}
	return writeResults(sc.JSON, report)
}
