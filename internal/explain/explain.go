// Package explain tells from log lines of several instances what happened to one request.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dependencyWindow is how long before a line of the request a lost or regained dependency may explain it.
	dependencyWindow = 10 * time.Second
	// maxBeliefs bounds the belief lines given for one attempt: the states a target passes through.
	maxTargetStates = 3
	// besideWindow is how long before an attempt another request may have come to the same target and still explain
	// what happened there: a little more than the longest pass over a prompt.
	concurrentWindow = 2 * time.Second
	// maxBeside bounds the lines of each kind given for what else was at the targets of an attempt.
	maxConcurrent = 4
)

// UnknownRequestError says that no line names the request.
type UnknownRequestError struct {
	// ID is the request asked for.
	ID string
	// Lines is how many lines were read.
	Lines int
}

// Error names the request.
func (ur *UnknownRequestError) Error() string {
	return "no line of request " + ur.ID + " among " + plural(ur.Lines, "line")
}

// Account is what the lines tell of one request. It is not changed once Find has returned it.
type Timeline struct {
	// id is the request.
	id string
	// entries are in order of time, lines of one instance with the same time in the order read.
	entries []entry
}

// entry is one line of an account.
type entry struct {
	*line
	// why says why the line belongs to the account.
	reason string
}

// Find reads log lines and returns the account of a request, or an UnknownRequestError.
func ReadTimeline(r io.Reader, id string) (Timeline, error) {
	rd := reader{id: id, last: map[string]time.Time{}}
	if err := rd.read(r); err != nil {
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

// reader keeps the lines that may belong to an account and drops the rest as it reads.
type reader struct {
	id    string
	lines []*line
	// last is the newest time read of each instance.
	last map[string]time.Time
	// count is how many lines were read.
	count int
}

func (rd *reader) read(r io.Reader) error {
	br := bufio.NewReader(r)
	for {
		text, err := br.ReadString('\n')
		if text != "" {
			rd.add(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log lines")
		}
	}
}

// take keeps a line when it may be needed. A line without a time follows the last one of its instance.
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

// about reports whether a line names the request.
func (rd *reader) mentionsRequest(ln *line) bool { return ln.get("request") == rd.id }

// belief reports whether a line says what an instance holds of a target, and belongs to no request.
func (ln *line) isTargetState() bool { return ln.get("target") != "" && ln.get("request") == "" }

// config reports whether a line says which version of the configuration came into force.
func (ln *line) isConfig() bool {
	return ln.get("msg") == "configuration in force"
}

// dependency reports whether a line says that something the instance needs was lost or regained.
func (ln *line) isDependencyChange() bool {
	switch ln.get("part") {
	case "store", "peers", "targets":
	default:
		return false
	}
	msg := ln.get("msg")
	return strings.HasPrefix(msg, "lost") || strings.HasPrefix(msg, "regained")
}
