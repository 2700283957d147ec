// Package demo runs a whole small fleet in one process and sends it a burst of mixed prompts.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/load"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/standin/enginesim"
)

const (
	seed      = 7
	timeScale = 20
	zones     = 3
	engines   = 8
	instances = 3
	// longTokens is the length from which a prompt is left out of the comparison run.
	minLongTokens = 100_000
	stopTimeout   = 10 * time.Second
)

// Options are those of the command.
type Options struct {
	// Out gets the table.
	Out io.Writer
	// Log is used by the instances.
	Log log.Interface
	// Keep, when set, is called with a base URL and returns when the demo shall end.
	KeepRunning func(url string)
}

// WrongAnswerError says that an answer was missing or not the right one.
type WrongAnswerError struct{ Correct, Total int }

// Error gives the counts.
func (we *WrongAnswerError) Error() string {
	return fmt.Sprintf("%d of %d answers were whole and right", we.Correct, we.Total)
}

func arrivals() []load.Arrival {
	all := load.Generate(seed, load.Workload{
		Rate: 20, Duration: 20 * time.Second, Burst: 30, LongShare: 0.02, MinShortTokens: 1_000, MaxShortTokens: 8_000,
		MinLongTokens: minLongTokens, MaxLongTokens: 1_000_000, OutputTokens: 16, ShortClass: localfleet.ClassCall,
		LongClass: localfleet.ClassBatch, Organisations: 1, Scale: timeScale,
	})
	// One prompt of a million tokens is always among them.
	million := load.Arrival{Class: localfleet.ClassBatch, PromptTokens: 1_000_000, OutputTokens: 16, Index: len(all)}
	return append(all, million)
}

// Run runs the demo.
func Run(ctx context.Context, o Options) error {
	params := enginesim.DefaultParams()
	params.Scale = timeScale
	lf, err := localfleet.Start(ctx, localfleet.Options{
		Zones: zones, Engines: engines, Instances: instances, EngineParams: params, Log: o.Log,
	})
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		lf.Close(ctx)
	}()
	t := load.Options{URLs: lf.URLs(), Key: localfleet.CallerKey, Model: localfleet.Model, Seed: seed}
	t.Progress = func(done, all int) { fmt.Fprintf(o.Out, "  %d of %d answered\n", done, all) }
	all := arrivals()
	fmt.Fprintf(o.Out, "%d engines, %d instances, %d availability zones; engine times divided by %d\n", engines, instances, zones, timeScale)
	fmt.Fprintf(o.Out, "first the short prompts alone, then the same with the long ones\n")
	without := load.Run(ctx, t, load.ShorterThan(all, minLongTokens))
	with := load.Run(ctx, t, all)
	if err := report(o.Out, with, without); err != nil {
		return err
	}
	if o.KeepRunning != nil {
		o.KeepRunning(lf.URLs()[0])
	}
	return nil
}

func report(w io.Writer, with, without []load.Result) error {
	if err := load.WriteTable(w, load.Summarise(with)); err != nil {
		return err
	}
	p50, p95, p99 := load.RatioPercentiles(load.Slowdowns(with, without))
	fmt.Fprintf(w, "slowdown of short prompts beside long ones: p50 %.2f, p95 %.2f, p99 %.2f\n", p50, p95, p99)
	right := 0
	for _, r := range with {
		if r.Correct {
			right++
			continue
		}
		fmt.Fprintf(w, "prompt of %d tokens: %d of %d tokens, %s %s after %s\n", r.PromptTokens, r.ReceivedTokens, r.OutputTokens, r.Code, r.Outcome, r.Total)
	}
	if right < len(with) {
		return &WrongAnswerError{Correct: right, Total: len(with)}
	}
	return nil
}
