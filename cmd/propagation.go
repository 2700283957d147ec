package cmd

import (
	"io"
	"os"

	"github.com/silvermount/silvermount/internal/explain"
)

// propagationCommand prints how long changes took to reach the instances, according to log lines.
type propagationCommand struct {
	*options `no-flag:"true"`

	// in is the source of log lines; nil means standard input.
	in io.Reader
}

// Execute reads the log lines and prints the summary.
func (pc *propagationCommand) Execute([]string) error {
	in := pc.in
	if in == nil {
		in = os.Stdin
	}
	summary, err := explain.SummarisePropagation(in)
	if err != nil {
		return err
	}
	return summary.Print(pc.out)
}
