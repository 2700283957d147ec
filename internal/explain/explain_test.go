package explain

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestTimelinesMatchGoldenFiles compares printed timelines with the golden files.
func TestTimelinesMatchGoldenFiles(t *testing.T) {
	tests := map[string]struct{ file, id string }{
		"refused although targets were free": {file: "refused", id: "req-7"},
		"stream broken off":                  {file: "broken", id: "req-8"},
		"must not be retried":                {file: "unrepeatable", id: "req-9"},
		// Logs of simulated days, reduced to the lines of the timeline and a sample of the others from the same seconds.
		"simulated day: engines were free": {file: "day-refused", id: "8715079fbc637bf1"},
		"simulated day: zone cut off":      {file: "day-broken", id: "13a5882fce4b6aef"},
		"simulated day: runs once":         {file: "day-unrepeatable", id: "af213770d36a37c5"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			logs, err := os.ReadFile(filepath.Join("testdata", tc.file+".log"))
			g.Expect(err).NotTo(HaveOccurred())
			tl, err := ReadTimeline(bytes.NewReader(logs), tc.id)
			g.Expect(err).NotTo(HaveOccurred())
			var got bytes.Buffer
			g.Expect(tl.Print(&got)).To(Succeed())
			golden(g, tc.file, got.Bytes())
		})
	}
}

// golden compares output with a golden file, which it rewrites first if -update is set.
func golden(g *WithT, name string, got []byte) {
	file := filepath.Join("testdata", name+".golden")
	if *update {
		g.Expect(os.WriteFile(file, got, 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(string(want)))
}

func TestUnknownRequest(t *testing.T) {
	g := NewWithT(t)
	_, err := ReadTimeline(strings.NewReader("time=2026-12-01T12:00:00Z request=req-10\nx\n"), "req-1")
	var ur *UnknownRequestError
	g.Expect(errors.As(err, &ur)).To(BeTrue())
	g.Expect(*ur).To(Equal(UnknownRequestError{ID: "req-1", Lines: 2}))
}

func TestTimelineReturnsReadError(t *testing.T) {
	g := NewWithT(t)
	_, err := ReadTimeline(iotest.ErrReader(os.ErrClosed), "req-1")
	g.Expect(err).To(MatchError(os.ErrClosed))
}

// TestContextLines checks which lines a timeline contains besides those of the request itself. The line of the
// request, with message a, is always included.
func TestContextLines(t *testing.T) {
	const attempt = `time=2026-12-01T12:00:20Z instance=i1 msg=a request=r target=t incarnation=2 config=5 key_gone=3`
	tests := map[string]struct {
		line string
		want bool
	}{
		"target state":                       {line: `time=2026-12-01T12:00:01Z instance=i1 part=targets msg=b target=t incarnation=2`, want: true},
		"target state without incarnation":   {line: `time=2026-12-01T12:00:01Z instance=i1 part=targets msg=b target=t`, want: true},
		"target state at the same time":      {line: `time=2026-12-01T12:00:20Z instance=i1 part=targets msg=b target=t`, want: true},
		"later target state":                 {line: `time=2026-12-01T12:00:21Z instance=i1 part=targets msg=b target=t`},
		"another incarnation":                {line: `time=2026-12-01T12:00:01Z instance=i1 part=targets msg=b target=t incarnation=1`},
		"another target":                     {line: `time=2026-12-01T12:00:01Z instance=i1 part=targets msg=b target=u incarnation=2`},
		"another instance":                   {line: `time=2026-12-01T12:00:01Z instance=i2 part=targets msg=b target=t incarnation=2`},
		"another request":                    {line: `time=2026-12-01T12:00:01Z instance=i1 msg=b request=s target=t incarnation=2`},
		"configuration":                      {line: `time=2026-12-01T12:00:01Z instance=i1 part=routes msg="configuration in force" version=5`, want: true},
		"another version":                    {line: `time=2026-12-01T12:00:01Z instance=i1 part=routes msg="configuration in force" version=4`},
		"configuration of another instance":  {line: `time=2026-12-01T12:00:01Z instance=i2 part=routes msg="configuration in force" version=5`},
		"lost store within the window":       {line: `time=2026-12-01T12:00:10Z instance=i1 part=store msg="lost store"`, want: true},
		"regained peer within the window":    {line: `time=2026-12-01T12:00:12Z instance=i1 part=peers msg="regained peer"`, want: true},
		"lost store before the window":       {line: `time=2026-12-01T12:00:09.9Z instance=i1 part=store msg="lost store"`},
		"lost store of another instance":     {line: `time=2026-12-01T12:00:10Z instance=i2 part=store msg="lost store"`},
		"later lost store":                   {line: `time=2026-12-01T12:00:21Z instance=i1 part=store msg="lost store"`},
		"other message about the store":      {line: `time=2026-12-01T12:00:10Z instance=i1 part=store msg="slow store"`},
		"configuration that removed the key": {line: `time=2026-12-01T12:00:01Z instance=i1 part=facts msg="configuration in force" version=3`, want: true},
		"lost message of another part":       {line: `time=2026-12-01T12:00:10Z instance=i1 part=gateway msg="lost caller"`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tl, err := ReadTimeline(strings.NewReader(tc.line+"\n"+attempt), "r")
			g.Expect(err).NotTo(HaveOccurred())
			want := parseLine(tc.line)
			included := false
			for _, en := range tl.entries {
				included = included || en.reason != reasonMissing && en.get("msg") == want.get("msg")
			}
			g.Expect(included).To(Equal(tc.want))
		})
	}
}

// TestTargetStatesAreBounded has many lines about the state of a target: the timeline takes the newest line of each of the newest
// messages.
func TestTargetStatesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var sb strings.Builder
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for i := range 20 {
		sb.WriteString("time=" + at.Add(time.Duration(i)*time.Second).Format(time.RFC3339) + " msg=" + string("abcde"[i%5]) + " target=t\n")
	}
	sb.WriteString("time=" + at.Add(time.Hour).Format(time.RFC3339) + " msg=z target=t request=r\n")
	tl, err := ReadTimeline(strings.NewReader(sb.String()), "r")
	g.Expect(err).NotTo(HaveOccurred())
	var msgs string
	for _, en := range tl.entries {
		msgs += en.get("msg")
	}
	g.Expect(msgs).To(Equal("cdez"))
	g.Expect(tl.entries[0].at).To(Equal(at.Add(17 * time.Second)))
}

func TestParseLine(t *testing.T) {
	tests := map[string]struct {
		text     string
		instance string
		want     map[string]string
	}{
		"plain":                  {text: `a=1 b=two`, want: map[string]string{"a": "1", "b": "two"}},
		"quotes":                 {text: `a="x \"y\" = z\n" b=2`, want: map[string]string{"a": "x \"y\" = z\n", "b": "2"}},
		"empty values":           {text: `a= b="" c=3`, want: map[string]string{"a": "", "b": "", "c": "3"}},
		"prefix":                 {text: `edge-1 12.345 | a=1`, instance: "edge-1", want: map[string]string{"a": "1"}},
		"prefix in brackets":     {text: `[edge-1] a=1`, instance: "edge-1", want: map[string]string{"a": "1"}},
		"field before prefix":    {text: `edge-1 | instance=edge-2`, instance: "edge-2", want: map[string]string{}},
		"word after a field":     {text: `a=1 word b=2`, want: map[string]string{"a": "1", "b": "2"}},
		"truncated in a quote":   {text: `a=1 b="half a li`, want: map[string]string{"a": "1", "b": "half a li"}},
		"truncated at an escape": {text: `a=1 b="half\`, want: map[string]string{"a": "1", "b": `half\`}},
		"blank":                  {text: "  \n", want: map[string]string{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln := parseLine(tc.text)
			g.Expect(ln.instance).To(Equal(tc.instance))
			for k, v := range tc.want {
				g.Expect(ln.get(k)).To(Equal(v), k)
			}
		})
	}
}

// TestParseLineNeverPanics parses arbitrary text: parsing must terminate without a panic.
func TestParseLineNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parseLine(rapid.StringOf(rapid.RuneFrom([]rune(`ab= "\|`))).Draw(t, "text"))
	})
}

// TestLineWithoutTimeFollowsPreviousLine checks that a line without a time is placed after the previous line of its instance.
func TestLineWithoutTimeFollowsPreviousLine(t *testing.T) {
	g := NewWithT(t)
	logs := "i1 | time=2026-12-01T12:00:05Z msg=a request=r\ni1 | msg=b request=r\ni2 | time=2026-12-01T12:00:04Z msg=c request=r\n"
	tl, err := ReadTimeline(strings.NewReader(logs), "r")
	g.Expect(err).NotTo(HaveOccurred())
	var msgs string
	for _, en := range tl.entries {
		msgs += en.get("msg")
	}
	g.Expect(msgs).To(Equal("cab"))
}

// TestMissingLineIsReportedOnce checks that a missing target state or configuration is reported once for several attempts.
func TestMissingLineIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	const attempt = "time=2026-12-01T12:00:05Z instance=i1 msg=a request=r target=t config=5\n"
	tl, err := ReadTimeline(strings.NewReader(attempt+attempt), "r")
	g.Expect(err).NotTo(HaveOccurred())
	var reasons []string
	for _, en := range tl.entries {
		reasons = append(reasons, en.reason)
	}
	g.Expect(reasons).To(Equal([]string{reasonMissing, reasonMissing, reasonRequest, reasonRequest}))
}

// TestRequestLineKeepsItsReason has a line of the request that is also about a lost dependency: its reason stays the request.
func TestRequestLineKeepsItsReason(t *testing.T) {
	g := NewWithT(t)
	logs := "time=2026-12-01T12:00:05Z instance=i1 part=targets msg=\"lost target\" request=r\n" +
		"time=2026-12-01T12:00:06Z instance=i1 part=gateway msg=\"request failed\" request=r\n"
	tl, err := ReadTimeline(strings.NewReader(logs), "r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tl.entries).To(HaveLen(2))
	g.Expect(tl.entries[0].reason).To(Equal(reasonRequest))
}
