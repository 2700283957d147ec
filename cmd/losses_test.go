package cmd

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestLosses(t *testing.T) {
	const logs = "time=2026-12-01T12:00:00Z level=info msg=\"request served\" request=r1 route=chat elapsed=1s in_time=true attempts=1\n" +
		"time=2026-12-01T12:00:01Z level=warn msg=\"request refused\" request=r2 route=chat elapsed=0s reason=overloaded\n"
	g := NewWithT(t)
	var out bytes.Buffer
	lc := &lossesCommand{options: &options{out: &out}, in: strings.NewReader(logs)}
	g.Expect(lc.Execute(nil)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`chat +in time +1 +0\.500`))
	g.Expect(out.String()).To(MatchRegexp(`chat +refused: overloaded +1 +0\.500`))
}
