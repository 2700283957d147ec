package cmd

import (
	"fmt"

	"github.com/silvermount/silvermount/internal/config"
)

type schemaCommand struct {
	*options `no-flag:"true"`
}

// Execute prints the JSON schema of the settings.
func (sc *schemaCommand) Execute([]string) error {
	b, err := config.Schema()
	if err != nil {
		return err
	}
	fmt.Fprintln(sc.out, string(b))
	return nil
}
