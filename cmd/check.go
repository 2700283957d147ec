package cmd

import (
	"fmt"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/kernel"
)

type checkCommand struct {
	*options `no-flag:"true"`
	Bundle   string `long:"bundle" description:"bundle that the settings must be able to stop under"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute checks the file and reports all faults.
func (cc *checkCommand) Execute([]string) error {
	s, err := config.Load(cc.Args.File)
	if err != nil {
		return err
	}
	s = kernel.Defaults(s)
	faults := kernel.Check(s)
	if cc.Bundle != "" {
		b, err := readBundle(cc.Bundle)
		if err != nil {
			return err
		}
		faults = append(faults, b.FitsStop(s.Stop.Drain.Std())...)
	}
	if err := faults.OrNil(); err != nil {
		return err
	}
	fmt.Fprintln(cc.out, "settings are good")
	return nil
}
