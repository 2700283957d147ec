package explain

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// attempt is the time that the request spent at the targets of one attempt.
type attempt struct {
	// begin is the line about sending the request; end is the next line of the request, or nil.
	begin, end *line
	// targets are the target and its helpers.
	targets []string
}

// attemptsOf returns the attempts in the lines of a request.
func attemptsOf(own []*line) []attempt {
	var atts []attempt
	for i, ln := range own {
		if !ln.isSend() {
			continue
		}
		att := attempt{begin: ln, targets: ln.targets()}
		if i+1 < len(own) {
			att.end = own[i+1]
		}
		atts = append(atts, att)
	}
	return atts
}

// covers reports whether a time is within the attempt or at most concurrentWindow before it. An attempt without a known end covers
// nothing after its begin.
func (att attempt) covers(at time.Time) bool {
	until := att.begin.at
	if att.end != nil {
		until = att.end.at
	}
	return !at.Before(att.begin.at.Add(-concurrentWindow)) && !at.After(until)
}

// involves reports whether a line names one of the targets of the attempt.
func (att attempt) involves(ln *line) bool {
	return slices.ContainsFunc(ln.targets(), func(id string) bool { return slices.Contains(att.targets, id) })
}

// targets returns the target that a line names and its helpers, without duplicates.
func (ln *line) targets() []string {
	var ids []string
	for _, id := range append([]string{ln.get("target")}, strings.Split(ln.get("helpers"), ",")...) {
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isSend reports whether a line says that a request is sent to a target.
func (ln *line) isSend() bool {
	return ln.get("target") != "" && ln.get("request") != "" && ln.get("cause") == "" && ln.get("outcome") == ""
}

// promptTokens returns the prompt length in a line, or zero if it has none.
func (ln *line) promptTokens() int {
	n, err := strconv.Atoi(ln.get("prompt_tokens"))
	if err != nil {
		// Lines about plain services have no prompt length, and truncated lines may lack it.
		return 0
	}
	return n
}

// timeToEnd returns the time from a line to the end of the attempt, or to its begin if it has no known end.
func (att attempt) timeToEnd(ln *line) time.Duration {
	if att.end == nil {
		return att.begin.at.Sub(ln.at)
	}
	return att.end.at.Sub(ln.at)
}

// markConcurrent adds the concurrent activity at the targets of an attempt: the number of other requests sent there or failed there,
// those with the largest prompts, the failures closest to the end of the attempt, and the target states that instances logged.
func (cl *collector) markConcurrent(att attempt) {
	var sent, failed, states []*line
	for _, ln := range cl.lines {
		switch {
		case !att.covers(ln.at) || !att.involves(ln) || cl.reason[ln] == reasonRequest:
		case ln.isSend():
			sent = append(sent, ln)
		case ln.get("cause") != "" && ln.get("request") != "":
			failed = append(failed, ln)
		case ln.get("request") != "":
			// A served request does not explain a problem at its target.
		case ln.instance != att.begin.instance || ln.at.After(att.begin.at):
			states = append(states, ln)
		}
	}
	cl.addTally(att, sent, failed)
	byTime := func(a, b *line) int { return cmp.Compare(att.timeToEnd(a), att.timeToEnd(b)) }
	slices.SortStableFunc(sent, func(a, b *line) int { return cmp.Or(cmp.Compare(b.promptTokens(), a.promptTokens()), byTime(a, b)) })
	slices.SortStableFunc(failed, byTime)
	slices.SortStableFunc(states, byTime)
	for _, lns := range [][]*line{sent, failed, states} {
		for _, ln := range lns[:min(len(lns), maxConcurrent)] {
			cl.mark(ln, reasonConcurrent)
		}
	}
}

// addTally inserts a line with the counts of other requests before the line that ends an attempt.
func (cl *collector) addTally(att attempt, sent, failed []*line) {
	if len(sent)+len(failed) == 0 {
		return
	}
	promptTokens := 0
	for _, ln := range sent {
		promptTokens += ln.promptTokens()
	}
	before := att.end
	if before == nil {
		before = att.begin
	}
	ln := &line{instance: att.begin.instance, at: before.at, fields: []field{
		plainField("msg", "other requests at the same targets"),
		plainField("targets", strings.Join(att.targets, ",")),
		plainField("sent", strconv.Itoa(len(sent))),
		plainField("prompt_tokens", strconv.Itoa(promptTokens)),
		plainField("failed", strconv.Itoa(len(failed))),
	}}
	cl.synthetic[before] = append(cl.synthetic[before], entry{line: ln, reason: reasonConcurrent})
}

func plainField(key, value string) field { return field{key: key, raw: value, value: value} }
