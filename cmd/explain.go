package cmd

import (
	"io"
	"os"

	"github.com/silvermount/silvermount/internal/explain"
)

// explainCommand prints what log lines tell of a request.
type explainCommand struct {
	*options `no-flag:"true"`
	Args     struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true" required:"true"`

	// in is where log lines are read; standard input when nil.
	in io.Reader
}

// Execute reads the lines and prints the account.
func (ec *explainCommand) Execute([]string) error {
	in := ec.in
	if in == nil {
		in = os.Stdin
	}
	ac, err := explain.ReadTimeline(in, ec.Args.ID)
	if err != nil {
		return err
	}
	return ac.Print(ec.out)
}
