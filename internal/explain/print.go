package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// timeLayout has a fixed width, so that the columns stay aligned.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// Print writes a summary line and the log lines as a table.
func (tl Timeline) Print(w io.Writer) error {
	if _, err := io.WriteString(w, tl.summary()); err != nil {
		return errors.Wrap(err, "print timeline")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME\tINSTANCE\tWHY\tPART\tEVENT")
	for _, en := range tl.entries {
		fmt.Fprintln(tw, en.row())
	}
	return errors.Wrap(tw.Flush(), "print timeline")
}

// summary returns the number of lines of the request itself, the number of instances that wrote them and their time span.
func (tl Timeline) summary() string {
	var own []entry
	instances := map[string]bool{}
	for _, en := range tl.entries {
		if en.reason == reasonRequest {
			own = append(own, en)
			instances[en.instance] = true
		}
	}
	took := own[len(own)-1].at.Sub(own[0].at)
	s := fmt.Sprintf("request %s: %s of %s within %s", tl.id, plural(len(own), "line"), plural(len(instances), "instance"), took)
	if len(instances) > 1 {
		s += "; each time is the clock of its instance"
	}
	return s + "\n"
}

// row returns the table row of a line.
func (en entry) row() string {
	at := "-"
	if !en.at.IsZero() {
		at = en.at.UTC().Format(timeLayout)
	}
	cells := []string{at, orDash(en.instance), en.reason, orDash(en.get("part")), en.event()}
	return strings.Join(cells, "\t")
}

// event returns the message and the fields that have no column of their own.
func (en entry) event() string {
	words := []string{en.get("msg")}
	if level := en.get("level"); level != "" && level != "info" {
		words = append(words, "level="+level)
	}
	for _, fd := range en.fields {
		switch fd.key {
		case "time", "level", "part", "msg", "instance":
		case "request":
			if en.reason == reasonConcurrent {
				words = append(words, "request="+fd.raw)
			}
		default:
			words = append(words, fd.key+"="+fd.raw)
		}
	}
	return strings.Join(words, " ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// plural returns a count with its noun in the singular or plural.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
