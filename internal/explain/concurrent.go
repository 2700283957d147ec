package explain

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// visit is the time that the request spent at the targets of one attempt.
type attempt struct {
	// begin says where the request was sent; end is its next line, nil when there is none.
	begin, end *line
	// targets are the target and those that helped it.
	targets []string
}

// visits returns the attempts that the request's own lines tell of.
func attemptsOf(own []*line) []attempt {
	var vs []attempt
	for i, ln := range own {
		if !ln.isSend() {
			continue
		}
		vi := attempt{begin: ln, targets: ln.targets()}
		if i+1 < len(own) {
			vi.end = own[i+1]
		}
		vs = append(vs, vi)
	}
	return vs
}

// covers reports whether a time is within the visit or shortly before. A visit whose end is not known explains nothing
// after its begin.
func (att attempt) covers(at time.Time) bool {
	until := att.begin.at
	if att.end != nil {
		until = att.end.at
	}
	return !at.Before(att.begin.at.Add(-concurrentWindow)) && !at.After(until)
}

// meets reports whether a line is about one of the targets.
func (att attempt) involves(ln *line) bool {
	return slices.ContainsFunc(ln.targets(), func(id string) bool { return slices.Contains(att.targets, id) })
}

// targets returns the target that a line names and those that help it.
func (ln *line) targets() []string {
	var ids []string
	for _, id := range append([]string{ln.get("target")}, strings.Split(ln.get("helpers"), ",")...) {
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// sends reports whether a line tells that a request is sent to a target.
func (ln *line) isSend() bool {
	return ln.get("target") != "" && ln.get("request") != "" && ln.get("cause") == "" && ln.get("outcome") == ""
}

// tokens returns the prompt that a line names; zero when it names none.
func (ln *line) promptTokens() int {
	n, err := strconv.Atoi(ln.get("prompt_tokens"))
	if err != nil {
		// A line without a prompt is of a plain service, or was cut off.
		return 0
	}
	return n
}

// distance is the time between a line and the end of the visit.
func (att attempt) timeToEnd(ln *line) time.Duration {
	if att.end == nil {
		return att.begin.at.Sub(ln.at)
	}
	return att.end.at.Sub(ln.at)
}

// beside tells what else the targets of an attempt had to do: how many other requests were sent there or failed there,
// the largest prompts and the nearest failures of them, and what instances came to hold of the targets meanwhile.
func (cl *collector) markConcurrent(vi attempt) {
	var sent, failed, beliefs []*line
	for _, ln := range cl.lines {
		switch {
		case !vi.covers(ln.at) || !vi.involves(ln) || cl.reasons[ln] == reasonRequest:
		case ln.isSend():
			sent = append(sent, ln)
		case ln.get("cause") != "" && ln.get("request") != "":
			failed = append(failed, ln)
		case ln.get("request") != "":
			// A request that was served tells nothing against its target.
		case ln.instance != vi.begin.instance || ln.at.After(vi.begin.at):
			beliefs = append(beliefs, ln)
		}
	}
	cl.addTally(vi, sent, failed)
	byTime := func(a, b *line) int { return cmp.Compare(vi.timeToEnd(a), vi.timeToEnd(b)) }
	slices.SortStableFunc(sent, func(a, b *line) int { return cmp.Or(cmp.Compare(b.promptTokens(), a.promptTokens()), byTime(a, b)) })
	slices.SortStableFunc(failed, byTime)
	slices.SortStableFunc(beliefs, byTime)
	for _, lns := range [][]*line{sent, failed, beliefs} {
		for _, ln := range lns[:min(len(lns), maxConcurrent)] {
			cl.mark(ln, reasonConcurrent)
		}
	}
}

// tally adds a line with the counts of other requests before the line that ends an attempt.
func (cl *collector) addTally(vi attempt, sent, failed []*line) {
	if len(sent)+len(failed) == 0 {
		return
	}
	tokens := 0
	for _, ln := range sent {
		tokens += ln.promptTokens()
	}
	before := vi.end
	if before == nil {
		before = vi.begin
	}
	ln := &line{instance: vi.begin.instance, at: before.at, fields: []field{
		plainField("msg", "other requests at the same targets"),
		plainField("targets", strings.Join(vi.targets, ",")),
		plainField("sent", strconv.Itoa(len(sent))),
		plainField("prompt_tokens", strconv.Itoa(tokens)),
		plainField("failed", strconv.Itoa(len(failed))),
	}}
	cl.synthetic[before] = append(cl.synthetic[before], entry{line: ln, reason: reasonConcurrent})
}

func plainField(key, value string) field { return field{key: key, raw: value, value: value} }
