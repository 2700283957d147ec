package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestConcurrentLines checks which lines about other requests at the targets of an attempt are in the timeline.
func TestConcurrentLines(t *testing.T) {
	const requestLines = `time=2026-12-01T12:00:10Z instance=i1 msg="request sent" request=r target=t helpers=t,h prompt_tokens=10
time=2026-12-01T12:00:12Z instance=i1 msg="attempt failed" request=r target=t sent=true cause=silent
`
	tests := map[string]struct {
		line string
		want bool
	}{
		"sent to the target":               {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=t prompt_tokens=9`, want: true},
		"sent to a helper":                 {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=u helpers=u,h`, want: true},
		"shortly before":                   {line: `time=2026-12-01T12:00:08Z instance=i2 msg=b request=s target=t`, want: true},
		"long before":                      {line: `time=2026-12-01T12:00:07.9Z instance=i2 msg=b request=s target=t`},
		"after the end of the attempt":     {line: `time=2026-12-01T12:00:12.1Z instance=i2 msg=b request=s target=t`},
		"other targets":                    {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=u helpers=u,th`},
		"failed at the target":             {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=t cause=reset`, want: true},
		"served by the target":             {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=t outcome=served`},
		"target state at another instance": {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b target=t`, want: true},
		"target state during the attempt":  {line: `time=2026-12-01T12:00:11Z instance=i1 msg=b target=h`, want: true},
		"earlier target state of a helper": {line: `time=2026-12-01T12:00:09Z instance=i1 msg=b target=h`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tl, err := ReadTimeline(strings.NewReader(requestLines+tc.line), "r")
			g.Expect(err).NotTo(HaveOccurred())
			included := false
			for _, en := range tl.entries {
				included = included || en.reason == reasonConcurrent && en.get("msg") == "b"
			}
			g.Expect(included).To(Equal(tc.want))
		})
	}
}

// TestConcurrentLinesAreBounded has many requests at one target: the largest prompts are listed, and all are counted.
func TestConcurrentLinesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var sb strings.Builder
	sb.WriteString("time=2026-12-01T12:00:10Z msg=a request=r target=t\ntime=2026-12-01T12:00:12Z msg=z request=r\n")
	for _, tokens := range []string{"1", "70", "3", "60", "50", "2", "40"} {
		sb.WriteString("time=2026-12-01T12:00:11Z msg=sent request=s target=t prompt_tokens=" + tokens + "\n")
		sb.WriteString("time=2026-12-01T12:00:11Z msg=failed request=s target=t cause=reset\n")
	}
	tl, err := ReadTimeline(strings.NewReader(sb.String()), "r")
	g.Expect(err).NotTo(HaveOccurred())
	listed := map[string]int{}
	var tally string
	for _, en := range tl.entries {
		if en.reason != reasonConcurrent {
			continue
		}
		if en.get("targets") != "" {
			tally = en.event()
			continue
		}
		listed[en.get("msg")+en.get("prompt_tokens")]++
	}
	g.Expect(listed).To(Equal(map[string]int{"sent70": 1, "sent60": 1, "sent50": 1, "sent40": 1, "failed": maxConcurrent}))
	g.Expect(tally).To(Equal("other requests at the same targets targets=t sent=7 prompt_tokens=226 failed=7"))
}
