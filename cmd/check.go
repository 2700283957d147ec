package cmd

import (
	"fmt"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/kernel"
)

type checkCommand struct {
	*options `no-flag:"true"`
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
	if err := kernel.Check(kernel.Defaults(s)).OrNil(); err != nil {
		return err
	}
	fmt.Fprintln(cc.out, "settings are good")
	return nil
}
