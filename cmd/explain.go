package cmd

import (
	"io"
	"os"

	"github.com/silvermount/silvermount/internal/explain"
)

// explainCommand prints what happened to a request, according to log lines.
type explainCommand struct {
	*options `no-flag:"true"`
	Args     struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true" required:"true"`

	// in is the source of log lines; nil means standard input.
	in io.Reader
}

// Execute reads the log lines and prints the timeline of the request.
func (ec *explainCommand) Execute([]string) error {
	in := ec.in
	if in == nil {
		in = os.Stdin
	}
	timeline, err := explain.ReadTimeline(in, ec.Args.ID)
	if err != nil {
		return err
	}
	return timeline.Print(ec.out)
}
