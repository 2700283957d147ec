// Package demo runs a small local fleet in one process and sends it a burst of short and long prompts.
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
	// minLongTokens is the minimum length of long prompts, which the comparison run leaves out.
	minLongTokens = 100_000
	stopTimeout   = 10 * time.Second
)

// Options are the options of the demo command.
type Options struct {
	// Out receives the progress lines, the table and the summary.
	Out io.Writer
	// Log receives the log lines of the instances.
	Log log.Interface
	// KeepRunning, if set, is called after the measurement with the base URL of an instance. The fleet stops when it returns.
	KeepRunning func(url string)
}

// WrongAnswerError is returned if some answers are missing or incorrect.
type WrongAnswerError struct{ Correct, Total int }

// Error includes the counts of correct and of all answers.
func (we *WrongAnswerError) Error() string {
	return fmt.Sprintf("%d of %d answers were whole and right", we.Correct, we.Total)
}

func arrivals() []load.Arrival {
	all := load.Generate(seed, load.Workload{
		Rate: 20, Duration: 20 * time.Second, Burst: 30, LongShare: 0.02, MinShortTokens: 1_000, MaxShortTokens: 8_000,
		MinLongTokens: minLongTokens, MaxLongTokens: 1_000_000, OutputTokens: 16, ShortClass: localfleet.ClassCall,
		LongClass: localfleet.ClassBatch, Organisations: 1, Scale: timeScale,
	})
	// The workload always includes one prompt of a million tokens.
	million := load.Arrival{Class: localfleet.ClassBatch, PromptTokens: 1_000_000, OutputTokens: 16, Index: len(all)}
	return append(all, million)
}

// Run sends the short prompts alone and then all prompts, and writes the slowdown of the short ones. It returns a WrongAnswerError
// unless all answers of the second run are correct.
func Run(ctx context.Context, o Options) error {
	params := enginesim.DefaultParams()
	params.Speedup = timeScale
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
	lo := load.Options{URLs: lf.URLs(), Key: localfleet.CallerKey, Model: localfleet.Model, Seed: seed}
	lo.Progress = func(done, total int) { fmt.Fprintf(o.Out, "  %d of %d answered\n", done, total) }
	all := arrivals()
	fmt.Fprintf(o.Out, "%d engines, %d instances, %d availability zones; engine times divided by %d\n", engines, instances, zones, timeScale)
	fmt.Fprintf(o.Out, "first the short prompts alone, then the same with the long ones\n")
	withoutLong := load.Run(ctx, lo, load.ShorterThan(all, minLongTokens))
	withLong := load.Run(ctx, lo, all)
	if err := report(o.Out, withLong, withoutLong); err != nil {
		return err
	}
	if o.KeepRunning != nil {
		o.KeepRunning(lf.URLs()[0])
	}
	return nil
}

func report(w io.Writer, withLong, withoutLong []load.Result) error {
	if err := load.WriteTable(w, load.Summarise(withLong)); err != nil {
		return err
	}
	p50, p95, p99 := load.RatioPercentiles(load.Slowdowns(withLong, withoutLong))
	fmt.Fprintf(w, "slowdown of short prompts beside long ones: p50 %.2f, p95 %.2f, p99 %.2f\n", p50, p95, p99)
	correct := 0
	for _, r := range withLong {
		if r.Correct {
			correct++
			continue
		}
		fmt.Fprintf(w, "prompt of %d tokens: %d of %d tokens, %s %s after %s\n", r.PromptTokens, r.ReceivedTokens, r.OutputTokens, r.Code, r.Outcome, r.Total)
	}
	if correct < len(withLong) {
		return &WrongAnswerError{Correct: correct, Total: len(withLong)}
	}
	return nil
}
