package cmd

import (
	"io"
	"os"

	"github.com/silvermount/silvermount/internal/explain"
)

// lossesCommand prints a summary of the outcomes of all requests in log lines.
type lossesCommand struct {
	*options `no-flag:"true"`

	// in is the source of log lines; nil means standard input.
	in io.Reader
}

// Execute reads the log lines and prints the summary.
func (lc *lossesCommand) Execute([]string) error {
	in := lc.in
	if in == nil {
		in = os.Stdin
	}
	summary, err := explain.SummariseLosses(in)
	if err != nil {
		return err
	}
	return summary.Print(lc.out)
}
