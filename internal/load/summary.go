package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// lengthBounds are the upper ends of the rows of a summary, in tokens.
var rowBounds = []int{2_000, 8_000, 32_000, 100_000, 300_000, 1_100_000}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Row sums up the prompts of one range of lengths.
type Row struct {
	// UpTo is the upper end of the range in tokens.
	MaxTokens int `json:"up_to"`
	// Requests, Whole, Right, Refused and Failed count.
	Requests int `json:"requests"`
	Complete int `json:"whole"`
	Correct  int `json:"right"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// P50, P95 and P99 are of the time to the first token.
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
}

// Summarise returns a row for each range of lengths that has requests.
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

// Quantile returns a quantile of some times, from 0 to 100.
func Percentile(times []time.Duration, q float64) time.Duration {
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, t := range times {
		_ = h.RecordValue(max(1, t.Microseconds())) // an hour bounds every measured time
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Ratios returns, for each short prompt answered in both runs, its time to the first token with the long prompts
// over that without.
func Slowdowns(with, without []Result) []float64 {
	alone := map[int]time.Duration{}
	for _, r := range without {
		alone[r.Index] = r.FirstToken
	}
	var ratios []float64
	for _, r := range with {
		if base := alone[r.Index]; base > 0 && r.FirstToken > 0 {
			ratios = append(ratios, float64(r.FirstToken)/float64(base))
		}
	}
	return ratios
}

// WriteTable writes rows for a person.
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

// RatioQuantiles returns three quantiles of some ratios.
func RatioPercentiles(ratios []float64) (p50, p95, p99 float64) {
	if len(ratios) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Sorted(slices.Values(ratios))
	at := func(q float64) float64 { return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))] }
	return at(0.5), at(0.95), at(0.99)
}
