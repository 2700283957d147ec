package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bucketWidth is the time covered by one row of the table over time: about the duration of an answer.
	bucketWidth = 2 * time.Second
	// minTimeToSendShare is the share of the time to the first event that a request must have spent before it was first sent for a late
	// answer to be attributed to that wait.
	minTimeToSendShare = 0.5
	// resultInTime is the result of a request that was answered in time.
	resultInTime = "in time"
)

// LossSummary counts the requests that ended in the log lines by their outcomes. It is immutable.
type LossSummary struct {
	// outcomes counts requests by route and result.
	outcomes map[outcome]int
	// buckets counts requests by time of arrival. The key is the number of bucketWidths since summariser.origin.
	buckets map[int]bucket
}

// outcome is a route and the result of a request on it, as printed.
type outcome struct{ route, result string }

// bucket counts the requests that arrived within one bucketWidth.
type bucket struct {
	// total includes inTime.
	total, inTime int
}

// progress is what is known about a request that has not ended.
type progress struct {
	// timeToSend is the time from arrival until the request was first sent. It is valid if sent is set.
	timeToSend time.Duration
	sent       bool
}

// SummariseLosses reads log lines and counts the outcomes of the requests that ended in them.
func SummariseLosses(r io.Reader) (LossSummary, error) {
	sm := summariser{
		losses:   LossSummary{outcomes: map[outcome]int{}, buckets: map[int]bucket{}},
		inFlight: map[string]progress{},
	}
	err := eachLine(r, func(text string) {
		ln := parseLine(text)
		sm.add(&ln)
	})
	if err != nil {
		return LossSummary{}, err
	}
	return sm.losses, nil
}

// summariser counts outcomes while lines are read.
type summariser struct {
	losses   LossSummary
	inFlight map[string]progress
	// origin is the time of arrival of the first request that ended, and the start of the first bucket. Earlier arrivals also count in
	// the first bucket. It is zero before the first request ends.
	origin time.Time
}

func (sm *summariser) add(ln *line) {
	id := ln.get("request")
	switch {
	case id == "":
	case ln.get("msg") == "request sent":
		sm.recordSent(id, ln)
	case ln.get("msg") == "request served":
		sm.recordEnd(id, ln, servedResult(ln, sm.inFlight[id]))
	case ln.get("msg") == "request refused":
		sm.recordEnd(id, ln, "refused: "+ln.get("reason"))
	case ln.get("msg") == "request failed":
		sm.recordEnd(id, ln, "failed: "+ln.get("reason"))
	}
}

func (sm *summariser) recordSent(id string, ln *line) {
	if !sm.inFlight[id].sent {
		sm.inFlight[id] = progress{timeToSend: ln.duration("elapsed"), sent: true}
	}
}

// recordEnd counts a request under its result.
func (sm *summariser) recordEnd(id string, ln *line, result string) {
	delete(sm.inFlight, id)
	sm.losses.outcomes[outcome{route: orDash(ln.get("route")), result: result}]++
	arrival := ln.at.Add(-ln.duration("elapsed"))
	if sm.origin.IsZero() || arrival.Before(sm.origin) && len(sm.losses.buckets) == 0 {
		sm.origin = arrival
	}
	index := int(max(0, arrival.Sub(sm.origin)) / bucketWidth)
	bk := sm.losses.buckets[index]
	bk.total++
	if result == resultInTime {
		bk.inTime++
	}
	sm.losses.buckets[index] = bk
}

// servedResult returns the result of a served request: in time, or the cause of its lateness.
func servedResult(ln *line, pr progress) string {
	timeToFirst := ln.duration("first")
	attempts, err := strconv.Atoi(ln.get("attempts"))
	switch {
	case ln.get("in_time") == "true":
		return resultInTime
	case err == nil && attempts > 1:
		return "late: asked elsewhere"
	case ln.get("late_by") == "pause":
		return "late: pause"
	case pr.sent && float64(pr.timeToSend) >= minTimeToSendShare*float64(timeToFirst):
		return "late: held before it was sent"
	default:
		return "late: first event"
	}
}

// duration returns the duration in a field of a line, or zero if it has none.
func (ln *line) duration(key string) time.Duration {
	d, err := time.ParseDuration(ln.get(key))
	if err != nil {
		return 0
	}
	return d
}

// Print writes two tables: outcomes by route and requests by time of arrival.
func (ls LossSummary) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ROUTE\tWHAT BECAME OF THEM\tREQUESTS\tSHARE")
	total := map[string]int{}
	for oc, n := range ls.outcomes {
		total[oc.route] += n
	}
	for _, oc := range slices.SortedFunc(maps.Keys(ls.outcomes), outcome.compare) {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\n", oc.route, oc.result, ls.outcomes[oc], float64(ls.outcomes[oc])/float64(total[oc.route]))
	}
	fmt.Fprintln(tw, "\nFROM\tREQUESTS\tIN TIME\t")
	for _, index := range slices.Sorted(maps.Keys(ls.buckets)) {
		bk := ls.buckets[index]
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", time.Duration(index)*bucketWidth, bk.total, bk.inTime)
	}
	return errors.Wrap(tw.Flush(), "print losses")
}

func (oc outcome) compare(other outcome) int {
	return cmp.Or(cmp.Compare(oc.route, other.route), cmp.Compare(oc.result, other.result))
}
