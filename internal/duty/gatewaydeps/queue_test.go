package gatewaydeps

import (
	"bytes"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/loadreport"
)

// TestQueueIsOffByDefault guards against a queue that decides without its switch.
func TestQueueIsOffByDefault(t *testing.T) {
	g := NewWithT(t)
	g.Expect(queueOptions(&config.Gateway{BodyBudgetBytes: 100}, log.Log, metrics.NewSet(), nil)).To(BeNil())
}

// TestWaitsAreLoggedAndCounted guards against waits that neither the log nor the metrics tell of.
func TestWaitsAreLoggedAndCounted(t *testing.T) {
	g := NewWithT(t)
	lines := memory.New()
	lg := &log.Logger{Handler: lines, Level: log.InfoLevel}
	ms := metrics.NewSet()
	gw := &config.Gateway{BodyBudgetBytes: 100, LoadControl: config.LoadControl{Queue: true}}
	op := queueOptions(gw, lg, ms, loadreport.New(time.Now, lg, nil))
	g.Expect(op.MaxBytes).To(BeEquivalentTo(50))
	op.OnWait(dispatch.QueuedRequest{Request: "r", Service: "s", Slack: 120 * time.Millisecond})
	op.OnWaitEnd(dispatch.EndedWait{Request: "r", Service: "s", Outcome: dispatch.WaitPlaced, Waited: 80 * time.Millisecond, Turns: 1, Target: "t1"})
	g.Expect(lines.Entries).To(HaveLen(2))
	g.Expect(lines.Entries[0].Fields).To(HaveKeyWithValue("slack", "120ms"))
	g.Expect(lines.Entries[1].Fields).To(And(HaveKeyWithValue("outcome", "placed"), HaveKeyWithValue("for", "80ms"), HaveKeyWithValue("target", "t1")))
	var out bytes.Buffer
	ms.WritePrometheus(&out)
	g.Expect(out.String()).To(ContainSubstring(`silvermount_queue_wait_seconds_count{outcome="placed"} 1`))
}
