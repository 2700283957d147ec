package cmd

import (
	"bytes"
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
		"unknown": {id: "req-2", code: exitFail, want: "no line of request req-2 among 1 line"},
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
				code = fail(&out, err)
			}
			g.Expect(code).To(Equal(tc.code))
			g.Expect(out.String()).To(ContainSubstring(tc.want))
		})
	}
}
