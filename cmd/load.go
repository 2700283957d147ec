package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/silvermount/silvermount/internal/load"
)

type loadCommand struct {
	*options  `no-flag:"true"`
	URLs      []string      `long:"url" required:"true" description:"callers' address of an instance; may be repeated"`
	Key       string        `long:"key" required:"true" description:"bearer key"`
	Model     string        `long:"model" required:"true" description:"model to ask for"`
	Trace     string        `long:"trace" description:"JSON file of arrivals, instead of generated ones"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of arrivals and prompts"`
	Rate      float64       `long:"rate" default:"10" description:"requests a second"`
	Length    time.Duration `long:"length" default:"10s" description:"time over which requests come"`
	Burst     int           `long:"burst" default:"20" description:"additional requests in the first tenth of a second"`
	LongShare float64       `long:"long-share" default:"0.02" description:"share of prompts over 100,000 tokens"`
	Class     string        `long:"class" description:"class of short prompts"`
	LongClass string        `long:"long-class" description:"class of long prompts"`
	Output    int           `long:"output" default:"16" description:"tokens of each answer"`
	JSON      string        `long:"json" description:"file for every result"`
}

// Execute sends the requests and prints a table of the results.
func (lc *loadCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	arrivals, err := lc.arrivals()
	if err != nil {
		return err
	}
	results := load.Run(ctx, load.Options{
		URLs: lc.URLs, Key: lc.Key, Model: lc.Model, Seed: lc.Seed,
		Progress: func(done, all int) { fmt.Fprintf(lc.err, "%d of %d answered\n", done, all) },
	}, arrivals)
	if lc.JSON != "" {
		b, err := json.Marshal(results)
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		if err := os.WriteFile(lc.JSON, b, 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	return load.WriteTable(lc.out, load.Summarise(results))
}

func (lc *loadCommand) arrivals() ([]load.Arrival, error) {
	if lc.Trace == "" {
		return load.Generate(lc.Seed, load.Workload{
			Rate: lc.Rate, Duration: lc.Length, Burst: lc.Burst, LongShare: lc.LongShare, MinShortTokens: 1_000, MaxShortTokens: 8_000,
			MinLongTokens: 100_000, MaxLongTokens: 1_000_000, OutputTokens: lc.Output, ShortClass: lc.Class, LongClass: lc.LongClass,
			Organisations: 1, Scale: 1,
		}), nil
	}
	b, err := os.ReadFile(lc.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	var arrivals []load.Arrival
	return arrivals, errors.Wrap(json.Unmarshal(b, &arrivals), "decode trace")
}
