package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// propagatedEvents maps the message of each line by which an instance says that it learned of a change to the fields that identify the
// change. An instance logs such a line once for each change.
var propagatedEvents = map[string][]string{
	"configuration in force":         {"version"},
	"availability zone evacuated":    {"zone", "version"},
	"availability zone in use again": {"zone", "version"},
	"target leaving":                 {"target"},
	"target gone":                    {"target"},
	"target back":                    {"target"},
	"rate limit of target named":     {"target", "limit"},
	"lost a peer":                    {"peer", "incarnation"},
	"regained a peer":                {"peer", "incarnation"},
}

// change identifies a change that instances learn of.
type change struct {
	// event is the message of the lines, and subject the values of the fields that identify the change.
	event, subject string
}

// PropagationSummary says how long changes took to reach the instances that logged them. It is immutable.
type PropagationSummary struct {
	// learnedAt holds when each instance learned of each change, by its own clock.
	learnedAt map[change]map[string]time.Time
}

// SummarisePropagation reads log lines of several instances, in any order.
func SummarisePropagation(r io.Reader) (PropagationSummary, error) {
	ps := PropagationSummary{learnedAt: map[change]map[string]time.Time{}}
	err := eachLine(r, func(text string) {
		ln := parseLine(text)
		ps.add(&ln)
	})
	if err != nil {
		return PropagationSummary{}, err
	}
	return ps, nil
}

// add records the first line of an instance about a change.
func (ps PropagationSummary) add(ln *line) {
	event := ln.get("msg")
	keys, ok := propagatedEvents[event]
	if !ok || ln.instance == "" || ln.at.IsZero() {
		return
	}
	values := make([]string, 0, len(keys))
	for _, key := range keys {
		values = append(values, ln.get(key))
	}
	ch := change{event: event, subject: strings.Join(values, " ")}
	if ps.learnedAt[ch] == nil {
		ps.learnedAt[ch] = map[string]time.Time{}
	}
	if known, again := ps.learnedAt[ch][ln.instance]; !again || ln.at.Before(known) {
		ps.learnedAt[ch][ln.instance] = ln.at
	}
}

// spread is how long one change took from the first to the other instances.
type spread struct {
	change
	first        time.Time
	instances    int
	median, last time.Duration
	// slowest is the instance that learned of the change last.
	slowest string
}

// spreadOf computes the spread of a change.
func (ps PropagationSummary) spreadOf(ch change) spread {
	learnedAt := ps.learnedAt[ch]
	names := slices.SortedFunc(maps.Keys(learnedAt), func(a, b string) int {
		return cmp.Or(learnedAt[a].Compare(learnedAt[b]), cmp.Compare(a, b))
	})
	first, slowest := learnedAt[names[0]], names[len(names)-1]
	return spread{
		change: ch, first: first, instances: len(names), median: learnedAt[names[len(names)/2]].Sub(first), last: learnedAt[slowest].Sub(first),
		slowest: slowest,
	}
}

// Print writes one row for each kind of change, about the change that took longest to reach its last instance, and the number of
// instances that learned of it. Times count from the first instance that learned of a change.
func (ps PropagationSummary) Print(w io.Writer) error {
	slowest := map[string]spread{}
	counts := map[string]int{}
	for ch := range ps.learnedAt {
		sp := ps.spreadOf(ch)
		counts[ch.event]++
		worst, known := slowest[ch.event]
		if !known || cmp.Or(cmp.Compare(sp.last, worst.last), cmp.Compare(worst.subject, sp.subject)) > 0 {
			slowest[ch.event] = sp
		}
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CHANGE\tNUMBER\tSLOWEST\tAT\tINSTANCES\tMEDIAN\tLAST\tLAST INSTANCE")
	for _, event := range slices.Sorted(maps.Keys(slowest)) {
		sp := slowest[event]
		fmt.Fprintln(tw, event+"\t"+strconv.Itoa(counts[event])+"\t"+sp.subject+"\t"+sp.first.Format(timeOfDayFormat)+"\t"+
			strconv.Itoa(sp.instances)+"\t"+sp.median.Round(time.Millisecond).String()+"\t"+sp.last.Round(time.Millisecond).String()+"\t"+sp.slowest)
	}
	return errors.Wrap(tw.Flush(), "print propagation")
}

// timeOfDayFormat is the format of times in a summary.
const timeOfDayFormat = "15:04:05.000"
