package explain

import "slices"

// The reasons for which a line is in a timeline. They are printed.
const (
	reasonRequest     = "request"
	reasonTargetState = "belief"
	reasonConfig      = "config"
	reasonDependency  = "dependency"
	reasonConcurrent  = "beside"
	reasonMissing     = "missing"
)

// collector selects the lines of a timeline.
type collector struct {
	// lines are all lines that the reader kept, sorted by time.
	lines []*line
	// reason holds the selected lines and why each was selected.
	reason map[*line]string
	// synthetic holds lines that no instance wrote, by the line before which they are inserted.
	synthetic map[*line][]entry
}

func newCollector(lines []*line) *collector {
	return &collector{lines: lines, reason: map[*line]string{}, synthetic: map[*line][]entry{}}
}

// collect selects the lines of the request and those that may explain them.
func (cl *collector) collect(mentionsRequest func(*line) bool) {
	var own []*line
	for i, ln := range cl.lines {
		if !mentionsRequest(ln) {
			continue
		}
		own = append(own, ln)
		cl.reason[ln] = reasonRequest
		earlier := cl.lines[:i]
		cl.markDependencies(ln, earlier)
		cl.markTargetStates(ln, earlier)
		cl.markConfig(ln, earlier, "config")
		cl.markConfig(ln, earlier, "key_gone")
	}
	for _, att := range attemptsOf(own) {
		cl.markConcurrent(att)
	}
}

// mark selects a line for a reason. A line that is already selected keeps its first reason.
func (cl *collector) mark(ln *line, reason string) {
	if cl.reason[ln] == "" {
		cl.reason[ln] = reason
	}
}

// markDependencies selects the lines about dependencies that the instance lost or regained within dependencyWindow before a line.
func (cl *collector) markDependencies(of *line, earlier []*line) {
	for _, ln := range slices.Backward(earlier) {
		if of.at.Sub(ln.at) > dependencyWindow {
			return
		}
		if ln.instance == of.instance && ln.isDependencyChange() {
			cl.mark(ln, reasonDependency)
		}
	}
}

// markTargetStates selects the newest line with each message about the target of a line, at most maxTargetStates of them.
func (cl *collector) markTargetStates(of *line, earlier []*line) {
	target := of.get("target")
	if target == "" {
		return
	}
	found := map[string]bool{}
	for _, ln := range slices.Backward(earlier) {
		if len(found) == maxTargetStates {
			break
		}
		if msg := ln.get("msg"); !found[msg] && ln.isTargetStateFor(of) {
			found[msg] = true
			cl.mark(ln, reasonTargetState)
		}
	}
	if len(found) == 0 {
		cl.addMissing(of, "no earlier line about the target", field{key: "target", raw: target, value: target})
	}
}

// isTargetStateFor reports whether a line describes the state of the target of another line, as seen by the same instance. The
// incarnations must be equal if both lines have one.
func (ln *line) isTargetStateFor(of *line) bool {
	if !ln.isTargetState() || ln.instance != of.instance || ln.get("target") != of.get("target") {
		return false
	}
	a, b := ln.get("incarnation"), of.get("incarnation")
	return a == "" || b == "" || a == b
}

// markConfig selects the line that says when the configuration version in the field key of a line came into force.
func (cl *collector) markConfig(of *line, earlier []*line, key string) {
	version := of.get(key)
	if version == "" {
		return
	}
	for _, ln := range slices.Backward(earlier) {
		if ln.instance == of.instance && ln.isConfig() && ln.get("version") == version {
			cl.mark(ln, reasonConfig)
			return
		}
	}
	cl.addMissing(of, "no earlier line about the configuration", field{key: "version", raw: version, value: version})
}

// addMissing inserts a line saying that no expected line was found, once for each missing value and instance.
func (cl *collector) addMissing(of *line, msg string, missing field) {
	for _, synthetic := range cl.synthetic {
		for _, ln := range synthetic {
			if ln.instance == of.instance && ln.get("msg") == msg && ln.get(missing.key) == missing.value {
				return
			}
		}
	}
	ln := &line{instance: of.instance, at: of.at, fields: []field{{key: "msg", raw: msg, value: msg}, missing}}
	cl.synthetic[of] = append(cl.synthetic[of], entry{line: ln, reason: reasonMissing})
}

// entries returns the selected and inserted lines, sorted by time.
func (cl *collector) entries() []entry {
	var es []entry
	for _, ln := range cl.lines {
		reason := cl.reason[ln]
		if reason == "" {
			continue
		}
		es = append(es, cl.synthetic[ln]...)
		es = append(es, entry{line: ln, reason: reason})
	}
	return es
}
