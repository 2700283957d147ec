package config

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		in   string
		want string
	}{
		"good":          {in: `{"instance":"a1","stop":{"drain":"5s"}}`},
		"unknown field": {in: `{"instant":"a1"}`, want: "unknown field"},
		"bad duration":  {in: `{"stop":{"drain":"soon"}}`, want: "a duration such as"},
		"wrong type":    {in: `{"routing":{"max_attempts":"x"}}`, want: "routing.max_attempts"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Parse([]byte(tc.in))
			if tc.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}

func TestSchemaNamesEveryPart(t *testing.T) {
	g := NewWithT(t)
	b, err := Schema()
	g.Expect(err).NotTo(HaveOccurred())
	for _, part := range []string{"callers", "operators", "peers", "platform", "routing", "stop"} {
		g.Expect(string(b)).To(ContainSubstring(`"` + part + `"`))
	}
}
