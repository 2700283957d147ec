package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestBeside checks what an account takes of other requests at the targets of an attempt.
func TestConcurrentLines(t *testing.T) {
	const own = `time=2026-12-01T12:00:10Z instance=i1 msg="request sent" request=r target=t helpers=t,h prompt_tokens=10
time=2026-12-01T12:00:12Z instance=i1 msg="attempt failed" request=r target=t sent=true cause=silent
`
	tests := map[string]struct {
		line string
		want bool
	}{
		"read at the target":       {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=t prompt_tokens=9`, want: true},
		"read at a helper":         {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=u helpers=u,h`, want: true},
		"shortly before":           {line: `time=2026-12-01T12:00:08Z instance=i2 msg=b request=s target=t`, want: true},
		"long before":              {line: `time=2026-12-01T12:00:07.9Z instance=i2 msg=b request=s target=t`},
		"after the end":            {line: `time=2026-12-01T12:00:12.1Z instance=i2 msg=b request=s target=t`},
		"elsewhere":                {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=u helpers=u,th`},
		"failed there":             {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=t cause=reset`, want: true},
		"served there":             {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b request=s target=t outcome=served`},
		"belief of another":        {line: `time=2026-12-01T12:00:11Z instance=i2 msg=b target=t`, want: true},
		"belief meanwhile":         {line: `time=2026-12-01T12:00:11Z instance=i1 msg=b target=h`, want: true},
		"earlier belief of helper": {line: `time=2026-12-01T12:00:09Z instance=i1 msg=b target=h`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ac, err := ReadTimeline(strings.NewReader(own+tc.line), "r")
			g.Expect(err).NotTo(HaveOccurred())
			taken := false
			for _, en := range ac.entries {
				taken = taken || en.reason == reasonConcurrent && en.get("msg") == "b"
			}
			g.Expect(taken).To(Equal(tc.want))
		})
	}
}

// TestBesideIsBounded gives many requests at one target: the largest prompts are shown, and all are counted.
func TestConcurrentLinesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var sb strings.Builder
	sb.WriteString("time=2026-12-01T12:00:10Z msg=a request=r target=t\ntime=2026-12-01T12:00:12Z msg=z request=r\n")
	for _, tokens := range []string{"1", "70", "3", "60", "50", "2", "40"} {
		sb.WriteString("time=2026-12-01T12:00:11Z msg=sent request=s target=t prompt_tokens=" + tokens + "\n")
		sb.WriteString("time=2026-12-01T12:00:11Z msg=failed request=s target=t cause=reset\n")
	}
	ac, err := ReadTimeline(strings.NewReader(sb.String()), "r")
	g.Expect(err).NotTo(HaveOccurred())
	shown := map[string]int{}
	var tally string
	for _, en := range ac.entries {
		if en.reason != reasonConcurrent {
			continue
		}
		if en.get("targets") != "" {
			tally = en.event()
			continue
		}
		shown[en.get("msg")+en.get("prompt_tokens")]++
	}
	g.Expect(shown).To(Equal(map[string]int{"sent70": 1, "sent60": 1, "sent50": 1, "sent40": 1, "failed": maxConcurrent}))
	g.Expect(tally).To(Equal("other requests at the same targets targets=t sent=7 prompt_tokens=226 failed=7"))
}
