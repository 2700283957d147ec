package cmd

import (
	"io"
	"os"

	"github.com/silvermount/silvermount/internal/explain"
)

// lossesCommand prints what became of the requests that log lines tell of.
type lossesCommand struct {
	*options `no-flag:"true"`

	// in is where log lines are read; standard input when nil.
	in io.Reader
}

// Execute reads the lines and prints the tables.
func (lc *lossesCommand) Execute([]string) error {
	in := lc.in
	if in == nil {
		in = os.Stdin
	}
	lo, err := explain.SummariseLosses(in)
	if err != nil {
		return err
	}
	return lo.Print(lc.out)
}
