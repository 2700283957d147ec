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
	Bundle   string `long:"bundle" description:"bundle whose class deadlines must not exceed stop.drain"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute checks the settings file, and the bundle if one is given, and returns all faults.
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

// readSettings returns the settings of a file with defaults and all their faults: those found in decoding and those that the duties find
// in the fields that decode. It returns an error only if the file cannot be read.
func readSettings(path string) (config.Settings, config.Faults, error) {
	s, err := config.Load(path)
	var faults config.Faults
	if err != nil && !errors.As(err, &faults) {
		return config.Settings{}, nil, err
	}
	s = kernel.Defaults(s)
	return s, faults.Merge(kernel.Check(s)), nil
}

// bundleFaults returns the faults of a bundle file. If it has none, it returns the deadlines in it that are longer than the drain time
// of the settings.
func bundleFaults(s config.Settings, settingsFaults config.Faults, path string) (config.Faults, error) {
	b, err := readBundle(path)
	var faults config.Faults
	if errors.As(err, &faults) {
		return faults, nil
	}
	if err != nil {
		return nil, err
	}
	return drainFaults(b, s, settingsFaults), nil
}

// drainFaults compares the bundle with stop.drain, unless one of the given faults covers that setting.
func drainFaults(b bundle.Bundle, s config.Settings, settingsFaults config.Faults) config.Faults {
	if settingsFaults.Covers("stop.drain") {
		return nil
	}
	return b.CheckDrain(s.Stop.Drain.Std())
}
