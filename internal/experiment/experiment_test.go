package experiment

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestMediansOverSeedsAndTable(t *testing.T) {
	g := NewWithT(t)
	result := func(policy string, p99 time.Duration, slowdown float64) Result {
		return Result{Fleet: "f", Policy: policy, Fault: FaultNone, ShortP99: p99, SlowdownP95: slowdown, Requests: 10, Correct: 9, Incomplete: 1}
	}
	rows := Medians([]Result{
		result("first", 10*time.Second, 9), result("first", 30*time.Second, 7), result("first", 20*time.Second, 8),
		result("second", 2*time.Second, 2), result("second", time.Second, 1), result("second", 5*time.Second, 3),
	})
	g.Expect(rows).To(HaveLen(2))
	g.Expect(rows[0].ShortP99).To(Equal(20 * time.Second))
	g.Expect(rows[1].SlowdownP95).To(Equal(2.0))
	g.Expect(rows[1].Incomplete).To(Equal(3), "failures are summed over the seeds")
	var buf bytes.Buffer
	g.Expect(WriteTable(&buf, rows)).To(Succeed())
	g.Expect(buf.String()).To(MatchRegexp(`second.*\| 10\.0 `), "the improvement over the first policy")
}
