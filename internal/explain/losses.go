package explain

import (
	"bufio"
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
	// spanOfLosses is the width of the rows over time: about the time of an answer.
	bucketWidth = 2 * time.Second
	// heldShare is the share of the time to the first event from which a late answer counts as held before it was sent.
	minHeldShare = 0.5
	// inTime is what becomes of a request that loses nothing.
	outcomeInTime = "in time"
)

// Losses is what became of all requests that log lines tell of. It is not changed once Sum has returned it.
type LossSummary struct {
	// fates counts by route and by what became of the request.
	outcomes map[outcome]int
	// spans counts by the span in which the request came, since the first one.
	buckets map[int]bucket
}

// fate is what became of the requests of a route.
type outcome struct{ route, result string }

// span is what became of the requests of some seconds.
type bucket struct {
	// all is at least inTime.
	all, inTime int
}

// course is what is known so far of one request.
type progress struct {
	// held is how long it was held before it was first sent; sent is set once it was.
	timeToSend time.Duration
	sent       bool
}

// Sum reads log lines and returns what became of the requests that ended in them.
func SummariseLosses(r io.Reader) (LossSummary, error) {
	sm := summariser{
		losses:   LossSummary{outcomes: map[outcome]int{}, buckets: map[int]bucket{}},
		inFlight: map[string]progress{},
	}
	br := bufio.NewReader(r)
	for {
		text, err := br.ReadString('\n')
		if text != "" {
			ln := parseLine(text)
			sm.add(&ln)
		}
		if errors.Is(err, io.EOF) {
			return sm.losses, nil
		}
		if err != nil {
			return LossSummary{}, errors.Wrap(err, "read log lines")
		}
	}
}

// summer sums while it reads.
type summariser struct {
	losses   LossSummary
	inFlight map[string]progress
	// began is when the first request came; zero before.
	firstArrival time.Time
}

func (sm *summariser) add(ln *line) {
	id := ln.get("request")
	switch {
	case id == "":
	case ln.get("msg") == "request sent":
		sm.recordSent(id, ln)
	case ln.get("msg") == "request served":
		sm.recordEnd(id, ln, servedOutcome(ln, sm.inFlight[id]))
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

// end counts a request under what became of it.
func (sm *summariser) recordEnd(id string, ln *line, what string) {
	delete(sm.inFlight, id)
	sm.losses.outcomes[outcome{route: orDash(ln.get("route")), result: what}]++
	came := ln.at.Add(-ln.duration("elapsed"))
	if sm.firstArrival.IsZero() || came.Before(sm.firstArrival) && len(sm.losses.buckets) == 0 {
		sm.firstArrival = came
	}
	no := int(max(0, came.Sub(sm.firstArrival)) / bucketWidth)
	sp := sm.losses.buckets[no]
	sp.all++
	if what == outcomeInTime {
		sp.inTime++
	}
	sm.losses.buckets[no] = sp
}

// servedFate says whether an answer was in time, and what made it late.
func servedOutcome(ln *line, cu progress) string {
	first := ln.duration("first")
	attempts, err := strconv.Atoi(ln.get("attempts"))
	switch {
	case ln.get("in_time") == "true":
		return outcomeInTime
	case err == nil && attempts > 1:
		return "late: asked elsewhere"
	case ln.get("late_by") == "pause":
		return "late: pause"
	case cu.sent && float64(cu.timeToSend) >= minHeldShare*float64(first):
		return "late: held before it was sent"
	default:
		return "late: first event"
	}
}

// span returns a duration that a line tells; zero when it tells none.
func (ln *line) duration(key string) time.Duration {
	d, err := time.ParseDuration(ln.get(key))
	if err != nil {
		return 0
	}
	return d
}

// Print writes two tables: by route and by time.
func (ls LossSummary) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ROUTE\tWHAT BECAME OF THEM\tREQUESTS\tSHARE")
	all := map[string]int{}
	for fa, n := range ls.outcomes {
		all[fa.route] += n
	}
	for _, fa := range slices.SortedFunc(maps.Keys(ls.outcomes), outcome.compare) {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\n", fa.route, fa.result, ls.outcomes[fa], float64(ls.outcomes[fa])/float64(all[fa.route]))
	}
	fmt.Fprintln(tw, "\nFROM\tREQUESTS\tIN TIME\t")
	for _, no := range slices.Sorted(maps.Keys(ls.buckets)) {
		sp := ls.buckets[no]
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", time.Duration(no)*bucketWidth, sp.all, sp.inTime)
	}
	return errors.Wrap(tw.Flush(), "print losses")
}

func (oc outcome) compare(ot outcome) int {
	return cmp.Or(cmp.Compare(oc.route, ot.route), cmp.Compare(oc.result, ot.result))
}
