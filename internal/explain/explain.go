// Package explain reconstructs from the log lines of several instances what happened to one request, and summarises the outcomes of
// all requests.
package explain

import (
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// dependencyWindow is the time before a line of the request within which a lost or regained dependency may explain it.
	dependencyWindow = 10 * time.Second
	// maxTargetStates limits the target state lines per line of the request. It is the number of states that a target passes through.
	maxTargetStates = 3
	// concurrentWindow is the time before an attempt within which another request to the same target may still explain what happened
	// there: slightly more than the longest prefill pass over a prompt.
	concurrentWindow = 2 * time.Second
	// maxConcurrent limits the lines of each kind about concurrent activity at the targets of an attempt.
	maxConcurrent = 4
)

// UnknownRequestError means that no line names the request.
type UnknownRequestError struct {
	// ID is the id of the request.
	ID string
	// Lines is the number of lines read.
	Lines int
}

// Error includes the id and the number of lines.
func (ur *UnknownRequestError) Error() string {
	return "no line of request " + ur.ID + " among " + plural(ur.Lines, "line")
}

// Timeline holds the log lines that concern one request or may explain what happened to it. It is immutable.
type Timeline struct {
	// id is the id of the request.
	id string
	// entries are sorted by time; lines with equal times are in the order in which they were read.
	entries []entry
}

// entry is one line of a timeline.
type entry struct {
	*line
	// reason says why the line is in the timeline.
	reason string
}

// ReadTimeline reads log lines and returns the timeline of a request, or an UnknownRequestError.
func ReadTimeline(r io.Reader, id string) (Timeline, error) {
	rd := reader{id: id, last: map[string]time.Time{}}
	if err := eachLine(r, rd.add); err != nil {
		return Timeline{}, err
	}
	if !slices.ContainsFunc(rd.lines, rd.mentionsRequest) {
		return Timeline{}, &UnknownRequestError{ID: id, Lines: rd.count}
	}
	slices.SortStableFunc(rd.lines, func(a, b *line) int { return a.at.Compare(b.at) })
	cl := newCollector(rd.lines)
	cl.collect(rd.mentionsRequest)
	return Timeline{id: id, entries: cl.entries()}, nil
}

// reader reads log lines and keeps those that may belong to the timeline.
type reader struct {
	id    string
	lines []*line
	// last is the time of the last line read from each instance.
	last map[string]time.Time
	// count is the number of lines read.
	count int
}

// add keeps a line if the timeline may need it. A line without a time gets the time of the previous line of its instance.
func (rd *reader) add(text string) {
	rd.count++
	ln := parseLine(text)
	if ln.at.IsZero() {
		ln.at = rd.last[ln.instance]
	}
	rd.last[ln.instance] = ln.at
	if rd.mentionsRequest(&ln) || ln.get("target") != "" || ln.isConfig() || ln.isDependencyChange() {
		rd.lines = append(rd.lines, &ln)
	}
}

// mentionsRequest reports whether a line names the request.
func (rd *reader) mentionsRequest(ln *line) bool { return ln.get("request") == rd.id }

// isTargetState reports whether a line describes the state of a target as seen by an instance, independent of a request.
func (ln *line) isTargetState() bool { return ln.get("target") != "" && ln.get("request") == "" }

// isConfig reports whether a line says that a version of the configuration came into force.
func (ln *line) isConfig() bool {
	return ln.get("msg") == "configuration in force"
}

// isDependencyChange reports whether a line says that the instance lost or regained the store, peers or targets.
func (ln *line) isDependencyChange() bool {
	switch ln.get("part") {
	case "store", "peers", "targets":
	default:
		return false
	}
	msg := ln.get("msg")
	return strings.HasPrefix(msg, "lost") || strings.HasPrefix(msg, "regained")
}
