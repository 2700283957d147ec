package gateway

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// FuzzReadEvents checks that every byte of a stream but empty lines between events is in one of its events, that events are the same however
// the stream is divided into reads, and that no event exceeds its bound or its reserved memory.
func FuzzReadEvents(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\n", "\n\nid: 1\r\ndata: a\r\n\r\n", "data: a\n\ndata: b\n\n", "data: a", "id: x\n\n", ":\n\n", "\r\r\n\n", "id: 1\nid: 2\n\n",
		"data: " + strings.Repeat("x", 70<<10) + "\n\n", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", strings.Repeat("\n", maxEventBytes+2),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		events, bounded := readAllEvents(g, bufio.NewReader(bytes.NewReader(data)))
		divided, dividedBounded := readAllEvents(g, bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(data)), 16))
		g.Expect(len(divided)).To(Equal(len(events)))
		g.Expect(dividedBounded).To(Equal(bounded))
		rest := data
		for i, ev := range events {
			g.Expect(divided[i].id).To(Equal(ev.id))
			g.Expect(bytes.Equal(divided[i].raw, ev.raw)).To(BeTrue())
			at := bytes.Index(rest, ev.raw)
			g.Expect(at).To(BeNumerically(">=", 0))
			g.Expect(bytes.Trim(rest[:at], "\r\n")).To(BeEmpty(), "nothing is left out between events")
			rest = rest[at+len(ev.raw):]
		}
	})
}

// readAllEvents reads events until the first error, and reports whether that is an EventTooLargeError.
func readAllEvents(g *WithT, br *bufio.Reader) (events []event, tooLarge bool) {
	var reserved int64
	er := &eventReader{br: br, reserve: func(n int64) bool { reserved += n; return true }}
	for {
		ev, err := er.next()
		g.Expect(len(ev.raw)).To(BeNumerically("<=", maxEventBytes))
		g.Expect(reserved).To(BeNumerically("<=", maxEventBytes))
		reserved -= er.takeReserved()
		if err != nil {
			var te *EventTooLargeError
			tooLarge = errors.As(err, &te)
			return events, tooLarge
		}
		events = append(events, ev)
	}
}
