package cmd

import (
	"fmt"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/demo"
	"github.com/silvermount/silvermount/internal/localfleet"
)

type demoCommand struct {
	*options `no-flag:"true"`
	Keep     bool `long:"keep" description:"keep running after the burst and print a command to try"`
}

// Execute runs the demo fleet and its burst. With Keep, the fleet then runs until SIGTERM or SIGINT.
func (dc *demoCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	lg := dc.logger()
	lg.Level = max(lg.Level, log.ErrorLevel)
	opts := demo.Options{Out: dc.out, Log: lg}
	if dc.Keep {
		opts.KeepRunning = func(url string) {
			fmt.Fprintf(dc.out, "curl -N %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"stream\":true}'\n",
				url, localfleet.CallerKey, localfleet.Model)
			<-ctx.Done()
		}
	}
	return demo.Run(ctx, opts)
}
