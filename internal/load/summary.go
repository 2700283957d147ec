package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// rowBounds are the maximum prompt lengths of the rows of a summary, in tokens.
var rowBounds = []int{2_000, 8_000, 32_000, 100_000, 300_000, 1_100_000}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Row summarises the requests of one range of prompt lengths.
type Row struct {
	// MaxTokens is the inclusive upper bound of the range, in tokens.
	MaxTokens int `json:"up_to"`
	// Requests is the sum of Complete, Refused and Failed. Correct counts the complete answers that have the expected text.
	// Refused counts the requests that surely did not run.
	Requests int `json:"requests"`
	Complete int `json:"whole"`
	Correct  int `json:"right"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// P50, P95 and P99 are percentiles of the time to the first token.
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// Summarise returns a row for each range of prompt lengths that has requests, from short to long.
func Summarise(results []Result) []Row {
	var rows []Row
	low := 0
	for _, high := range rowBounds {
		row := Row{MaxTokens: high}
		var times []time.Duration
		for _, r := range results {
			if r.PromptTokens <= low || r.PromptTokens > high {
				continue
			}
			row.add(r)
			if r.FirstToken > 0 {
				times = append(times, r.FirstToken)
			}
		}
		low = high
		if row.Requests > 0 {
			row.P50, row.P95, row.P99 = Percentile(times, 50), Percentile(times, 95), Percentile(times, 99)
			rows = append(rows, row)
		}
	}
	return rows
}

func (rw *Row) add(r Result) {
	rw.Requests++
	switch {
	case r.Complete:
		rw.Complete++
	case r.Outcome == "not_run":
		rw.Refused++
	default:
		rw.Failed++
	}
	if r.Correct {
		rw.Correct++
	}
}

// Percentile returns the p-th percentile of the times, for a p from 0 to 100.
func Percentile(times []time.Duration, p float64) time.Duration {
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, t := range times {
		_ = h.RecordValue(max(1, t.Microseconds())) // no measured time exceeds the histogram's maximum of one hour
	}
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

// Slowdowns compares a run with long prompts with a run without them. For each request that got a first token in both, it returns
// the time to the first token in the first run divided by that in the second.
func Slowdowns(withLong, withoutLong []Result) []float64 {
	baseline := map[int]time.Duration{}
	for _, r := range withoutLong {
		baseline[r.Index] = r.FirstToken
	}
	var ratios []float64
	for _, r := range withLong {
		if base := baseline[r.Index]; base > 0 && r.FirstToken > 0 {
			ratios = append(ratios, float64(r.FirstToken)/float64(base))
		}
	}
	return ratios
}

// WriteTable writes the rows as an aligned text table.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "prompt tokens up to\trequests\twhole\tright\trefused\tfailed\tfirst token p50\tp95\tp99\t")
	for _, r := range rows {
		fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", r.MaxTokens, r.Requests, r.Complete, r.Correct, r.Refused, r.Failed,
			roundForDisplay(r.P50), roundForDisplay(r.P95), roundForDisplay(r.P99))
	}
	return tw.Flush()
}

func roundForDisplay(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}

// RatioPercentiles returns the 50th, 95th and 99th percentiles of the ratios, or zeros if there are none.
func RatioPercentiles(ratios []float64) (p50, p95, p99 float64) {
	if len(ratios) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Sorted(slices.Values(ratios))
	at := func(q float64) float64 { return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))] }
	return at(0.5), at(0.95), at(0.99)
}
