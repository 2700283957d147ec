package cmd

import (
	"fmt"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/demo"
	"github.com/silvermount/silvermount/internal/localfleet"
)

type demoCommand struct {
	*options `no-flag:"true"`
	Keep     bool `long:"keep" description:"stay up after the burst and print a line to try"`
}

// Execute runs the demo.
func (dc *demoCommand) Execute([]string) error {
	ctx, cancel := untilAskedToStop()
	defer cancel()
	lg := dc.logger()
	lg.Level = max(lg.Level, log.ErrorLevel)
	o := demo.Options{Out: dc.out, Log: lg}
	if dc.Keep {
		o.KeepRunning = func(url string) {
			fmt.Fprintf(dc.out, "curl -N %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"stream\":true}'\n",
				url, localfleet.CallerKey, localfleet.Model)
			<-ctx.Done()
		}
	}
	return demo.Run(ctx, o)
}
