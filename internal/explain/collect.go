package explain

import "slices"

// The reasons for which a line belongs to an account.
const (
	reasonRequest     = "request"
	reasonTargetState = "belief"
	reasonConfig      = "config"
	reasonDependency  = "dependency"
	reasonConcurrent  = "beside"
	reasonMissing     = "missing"
)

// collector chooses the lines of an account.
type collector struct {
	// lines are all lines kept, in order of time.
	lines []*line
	// why has the lines that belong to the account.
	reasons map[*line]string
	// made are lines that no instance wrote, each before the line that needed it.
	synthetic map[*line][]entry
}

func newCollector(lines []*line) *collector {
	return &collector{lines: lines, reasons: map[*line]string{}, synthetic: map[*line][]entry{}}
}

// collect marks the lines of the request and those that explain them.
func (cl *collector) collect(about func(*line) bool) {
	var own []*line
	for i, ln := range cl.lines {
		if !about(ln) {
			continue
		}
		own = append(own, ln)
		cl.reasons[ln] = reasonRequest
		earlier := cl.lines[:i]
		cl.markDependencies(ln, earlier)
		cl.markTargetStates(ln, earlier)
		cl.markConfig(ln, earlier, "config")
		cl.markConfig(ln, earlier, "key_gone")
	}
	for _, vs := range attemptsOf(own) {
		cl.markConcurrent(vs)
	}
}

// mark gives a line a reason unless it has one.
func (cl *collector) mark(ln *line, why string) {
	if cl.reasons[ln] == "" {
		cl.reasons[ln] = why
	}
}

// dependencies marks what the instance lost or regained shortly before.
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

// beliefs marks the newest line of each message about the target of an attempt, at most maxBeliefs of them.
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

// believes reports whether a line says what the instance of an attempt held of its target. Incarnations are
// compared when both lines have one.
func (ln *line) isTargetStateFor(of *line) bool {
	if !ln.isTargetState() || ln.instance != of.instance || ln.get("target") != of.get("target") {
		return false
	}
	a, b := ln.get("incarnation"), of.get("incarnation")
	return a == "" || b == "" || a == b
}

// config marks where the version that a field of a line names came into force.
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

// miss says that a line was not found, once for each thing that is missing at an instance.
func (cl *collector) addMissing(of *line, msg string, what field) {
	for _, made := range cl.synthetic {
		for _, ln := range made {
			if ln.instance == of.instance && ln.get("msg") == msg && ln.get(what.key) == what.value {
				return
			}
		}
	}
	ln := &line{instance: of.instance, at: of.at, fields: []field{{key: "msg", raw: msg, value: msg}, what}}
	cl.synthetic[of] = append(cl.synthetic[of], entry{line: ln, reason: reasonMissing})
}

// entries returns the marked lines in order of time.
func (cl *collector) entries() []entry {
	var es []entry
	for _, ln := range cl.lines {
		why := cl.reasons[ln]
		if why == "" {
			continue
		}
		es = append(es, cl.synthetic[ln]...)
		es = append(es, entry{line: ln, reason: why})
	}
	return es
}
