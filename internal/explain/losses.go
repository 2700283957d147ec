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
	spanOfLosses = 2 * time.Second
	// heldShare is the share of the time to the first event from which a late answer counts as held before it was sent.
	heldShare = 0.5
	// inTime is what becomes of a request that loses nothing.
	inTime = "in time"
)

// Losses is what became of all requests that log lines tell of. It is not changed once Sum has returned it.
type LossSummary struct {
	// fates counts by route and by what became of the request.
	fates map[fate]int
	// spans counts by the span in which the request came, since the first one.
	spans map[int]span
}

// fate is what became of the requests of a route.
type fate struct{ route, what string }

// span is what became of the requests of some seconds.
type span struct {
	// all is at least inTime.
	all, inTime int
}

// course is what is known so far of one request.
type course struct {
	// held is how long it was held before it was first sent; sent is set once it was.
	held time.Duration
	sent bool
}

// Sum reads log lines and returns what became of the requests that ended in them.
func SummariseLosses(r io.Reader) (LossSummary, error) {
	sm := summer{
		losses:  LossSummary{fates: map[fate]int{}, spans: map[int]span{}},
		courses: map[string]course{},
	}
	br := bufio.NewReader(r)
	for {
		text, err := br.ReadString('\n')
		if text != "" {
			ln := parse(text)
			sm.take(&ln)
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
type summer struct {
	losses  LossSummary
	courses map[string]course
	// began is when the first request came; zero before.
	began time.Time
}

func (sm *summer) take(ln *line) {
	id := ln.get("request")
	switch {
	case id == "":
	case ln.get("msg") == "request sent":
		sm.sent(id, ln)
	case ln.get("msg") == "request served":
		sm.end(id, ln, servedFate(ln, sm.courses[id]))
	case ln.get("msg") == "request refused":
		sm.end(id, ln, "refused: "+ln.get("reason"))
	case ln.get("msg") == "request failed":
		sm.end(id, ln, "failed: "+ln.get("reason"))
	}
}

func (sm *summer) sent(id string, ln *line) {
	if !sm.courses[id].sent {
		sm.courses[id] = course{held: ln.span("elapsed"), sent: true}
	}
}

// end counts a request under what became of it.
func (sm *summer) end(id string, ln *line, what string) {
	delete(sm.courses, id)
	sm.losses.fates[fate{route: orDash(ln.get("route")), what: what}]++
	came := ln.at.Add(-ln.span("elapsed"))
	if sm.began.IsZero() || came.Before(sm.began) && len(sm.losses.spans) == 0 {
		sm.began = came
	}
	no := int(max(0, came.Sub(sm.began)) / spanOfLosses)
	sp := sm.losses.spans[no]
	sp.all++
	if what == inTime {
		sp.inTime++
	}
	sm.losses.spans[no] = sp
}

// servedFate says whether an answer was in time, and what made it late.
func servedFate(ln *line, cu course) string {
	first := ln.span("first")
	attempts, err := strconv.Atoi(ln.get("attempts"))
	switch {
	case ln.get("in_time") == "true":
		return inTime
	case err == nil && attempts > 1:
		return "late: asked elsewhere"
	case ln.get("late_by") == "pause":
		return "late: pause"
	case cu.sent && float64(cu.held) >= heldShare*float64(first):
		return "late: held before it was sent"
	default:
		return "late: first event"
	}
}

// span returns a duration that a line tells; zero when it tells none.
func (ln *line) span(key string) time.Duration {
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
	for fa, n := range ls.fates {
		all[fa.route] += n
	}
	for _, fa := range slices.SortedFunc(maps.Keys(ls.fates), fate.compare) {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\n", fa.route, fa.what, ls.fates[fa], float64(ls.fates[fa])/float64(all[fa.route]))
	}
	fmt.Fprintln(tw, "\nFROM\tREQUESTS\tIN TIME\t")
	for _, no := range slices.Sorted(maps.Keys(ls.spans)) {
		sp := ls.spans[no]
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", time.Duration(no)*spanOfLosses, sp.all, sp.inTime)
	}
	return errors.Wrap(tw.Flush(), "print losses")
}

func (fa fate) compare(ot fate) int {
	return cmp.Or(cmp.Compare(fa.route, ot.route), cmp.Compare(fa.what, ot.what))
}
