package cmd

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestPropagation(t *testing.T) {
	const logs = "time=2026-12-01T12:00:00Z msg=\"configuration in force\" instance=a version=7\n" +
		"time=2026-12-01T12:00:00.25Z msg=\"configuration in force\" instance=b version=7\n"
	g := NewWithT(t)
	var out bytes.Buffer
	pc := &propagationCommand{options: &options{out: &out}, in: strings.NewReader(logs)}
	g.Expect(pc.Execute(nil)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`configuration in force +1 +7 +12:00:00.000 +2 +250ms +250ms +b`))
}
