package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/explain"
)

func TestExplain(t *testing.T) {
	const logs = "edge-1 0.001 | time=2026-12-01T12:00:00Z level=info part=gateway msg=\"request refused\" request=req-1 reason=no_target\n"
	tests := map[string]struct {
		id   string
		code int
		want string
	}{
		"known":   {id: "req-1", code: exitOK, want: "request refused reason=no_target"},
		"unknown": {id: "req-2", code: exitFailure, want: "no line of request req-2 among 1 line"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			ec := &explainCommand{options: &options{out: &out}, in: strings.NewReader(logs)}
			ec.Args.ID = tc.id
			code := exitOK
			if err := ec.Execute(nil); err != nil {
				var ur *explain.UnknownRequestError
				g.Expect(err).To(BeAssignableToTypeOf(ur))
				code = reportError(&out, err)
			}
			g.Expect(code).To(Equal(tc.code))
			g.Expect(out.String()).To(ContainSubstring(tc.want))
		})
	}
}

// documentedExplain matches an explain command on a page and the output lines shown after it.
var documentedExplain = regexp.MustCompile("(?s)```sh\nsilvermount explain (\\w+) < (\\S+)\n```\n\n```\n(.*?)\n```")

// TestDocumentedExplainOutput runs the explain commands on the operations page and checks that the output contains the lines shown.
func TestDocumentedExplainOutput(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	found := documentedExplain.FindAllStringSubmatch(string(page), -1)
	g.Expect(found).To(HaveLen(3))
	for _, m := range found {
		logs, err := os.ReadFile(filepath.Join("..", m[2]))
		g.Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		ec := &explainCommand{options: &options{out: &out}, in: bytes.NewReader(logs)}
		ec.Args.ID = m[1]
		g.Expect(ec.Execute(nil)).To(Succeed())
		for _, shown := range strings.Split(m[3], "\n") {
			words := strings.Fields(shown)
			g.Expect(out.String()).To(MatchRegexp(words[0] + ` +` + words[1] + ` +` + words[2] + ` `))
		}
	}
}
