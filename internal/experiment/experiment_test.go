package experiment

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMediansAndTable(t *testing.T) {
	g := NewWithT(t)
	cell := func(policy string, p99 time.Duration, slow float64) Result {
		return Result{Fleet: "f", Policy: policy, Fault: FaultNone, ShortP99: p99, SlowdownP95: slow, Requests: 10, Correct: 9, Incomplete: 1}
	}
	rows := Medians([]Result{
		cell("first", 10*time.Second, 9), cell("first", 30*time.Second, 7), cell("first", 20*time.Second, 8),
		cell("second", 2*time.Second, 2), cell("second", time.Second, 1), cell("second", 5*time.Second, 3),
	})
	g.Expect(rows).To(HaveLen(2))
	g.Expect(rows[0].ShortP99).To(Equal(20 * time.Second))
	g.Expect(rows[1].SlowdownP95).To(Equal(2.0))
	g.Expect(rows[1].Incomplete).To(Equal(3), "what went wrong is summed, not averaged away")
	var buf bytes.Buffer
	g.Expect(WriteTable(&buf, rows)).To(Succeed())
	g.Expect(buf.String()).To(MatchRegexp(`second.*\| 10\.0 `), "times better than the first policy")
}
