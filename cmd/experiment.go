package cmd

import (
	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/experiment"
	"github.com/silvermount/silvermount/internal/policy"
)

type experimentCommand struct {
	*options  `no-flag:"true"`
	Fleets    []string `long:"fleet" default:"tywi" default:"acervo" description:"users' fleet"`
	Policies  []string `long:"policy" description:"routing policy; all when none is given"`
	Faults    []string `long:"fault" default:"none" description:"fault to inject; all for every one"`
	Seeds     []uint64 `long:"seed" default:"1" default:"2" default:"3" description:"seed of the arrivals"`
	Scale     float64  `long:"scale" default:"8" description:"times are divided by this"`
	Instances int      `long:"instances" description:"number of instances instead of the fleet's"`
	LongShare float64  `long:"long-share" description:"share of targets for long prompts instead of the default"`
	Events    bool     `long:"events" description:"announce the event that the arrivals represent in the bundle"`
	JSON      string   `long:"json" description:"file for the figures of every run"`
	Plot      string   `long:"plot" description:"file for a plot, SVG or PNG"`
}

// Execute runs the experiment and prints a table of medians.
func (ec *experimentCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	lg := ec.logger()
	lg.Level = max(lg.Level, log.FatalLevel)
	opts := experiment.Options{
		Fleets: ec.Fleets, Policies: ec.Policies, Seeds: ec.Seeds, Scale: ec.Scale, Instances: ec.Instances,
		LongShare: ec.LongShare, AnnounceEvent: ec.Events, Progress: ec.err, Log: lg,
	}
	if len(opts.Policies) == 0 {
		opts.Policies = policy.Names()
	}
	for _, f := range ec.Faults {
		if f == "all" {
			opts.Faults = experiment.Faults
			break
		}
		opts.Faults = append(opts.Faults, experiment.Fault(f))
	}
	cells, err := experiment.Run(ctx, opts)
	if err != nil {
		return err
	}
	return ec.write(cells)
}

func (ec *experimentCommand) write(cells []experiment.Result) error {
	if err := writeResults(ec.JSON, cells); err != nil {
		return err
	}
	rows := experiment.Medians(cells)
	if ec.Plot != "" {
		if err := experiment.Plot(ec.Plot, rows); err != nil {
			return err
		}
	}
	return experiment.WriteTable(ec.out, rows)
}
