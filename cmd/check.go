package cmd

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/bundle"
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
	s, faults, err := readSettings(cc.Args.File)
	if err != nil {
		return err
	}
	if cc.Bundle != "" {
		more, err := bundleFaults(s, faults, cc.Bundle)
		if err != nil {
			return err
		}
		faults = append(faults, more...)
	}
	if err := faults.ErrorOrNil(); err != nil {
		return err
	}
	fmt.Fprintln(cc.out, "settings are good")
	return nil
}

// readSettings returns the settings of a file with their defaults, and all their faults: what does not decode, and what
// the duties find in the rest. The error is for a file that cannot be read.
func readSettings(path string) (config.Settings, config.Faults, error) {
	s, err := config.Load(path)
	var faults config.Faults
	if err != nil && !errors.As(err, &faults) {
		return config.Settings{}, nil, err
	}
	s = kernel.Defaults(s)
	return s, faults.Merge(kernel.Check(s)), nil
}

// stopFaults returns what keeps an instance with the settings from stopping under a bundle, and the faults of the bundle
// itself.
func bundleFaults(s config.Settings, found config.Faults, path string) (config.Faults, error) {
	b, err := readBundle(path)
	var faults config.Faults
	if errors.As(err, &faults) {
		return faults, nil
	}
	if err != nil {
		return nil, err
	}
	return drainFaults(b, s, found), nil
}

// fitsStop compares with the drain only if that was read.
func drainFaults(b bundle.Bundle, s config.Settings, found config.Faults) config.Faults {
	if found.Covers("stop.drain") {
		return nil
	}
	return b.CheckDrain(s.Stop.Drain.Std())
}
