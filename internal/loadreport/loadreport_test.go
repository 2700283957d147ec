package loadreport_test

import (
	"bytes"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/peercodec"
)

// fakePart records what it receives.
type fakePart struct {
	body      []byte
	received  map[string]string
	forgotten []string
}

func (fp *fakePart) part() loadreport.Part {
	fp.received = map[string]string{}
	return loadreport.Part{
		Encode:  func(time.Time) []byte { return fp.body },
		Receive: func(peer string, body []byte, _ time.Time) { fp.received[peer] = string(body) },
		Forget:  func(peer string) { fp.forgotten = append(fp.forgotten, peer) },
	}
}

func newExchange(omitted *int) *loadreport.Exchange {
	return loadreport.New(time.Now, &log.Logger{Handler: discard.New()}, func() { *omitted++ })
}

// TestReportReachesTheSamePartsOfAPeer guards against parts that receive the body of another part, or fail on a kind that only a later
// build knows.
func TestReportReachesTheSamePartsOfAPeer(t *testing.T) {
	g := NewWithT(t)
	omitted := 0
	from, to := newExchange(&omitted), newExchange(&omitted)
	queues, usage, unknown := &fakePart{body: []byte("q")}, &fakePart{}, &fakePart{body: []byte("later")}
	from.Register(loadreport.KindQueues, queues.part())
	from.Register(loadreport.Kind(99), unknown.part())
	from.Register(loadreport.KindUsage, usage.part())
	gotQueues, gotUsage := &fakePart{}, &fakePart{}
	to.Register(loadreport.KindUsage, gotUsage.part())
	to.Register(loadreport.KindQueues, gotQueues.part())
	g.Expect(to.Receive("a", from.Encode(), time.Now())).To(Succeed())
	g.Expect(gotQueues.received).To(Equal(map[string]string{"a": "q"}))
	g.Expect(gotUsage.received).To(Equal(map[string]string{"a": ""}), "an empty part replaces what the peer told before")
	to.Forget("a")
	g.Expect(gotQueues.forgotten).To(Equal([]string{"a"}))
	g.Expect(omitted).To(BeZero())
}

// TestTooLargePartIsLeftOut guards against a report that outgrows the gossip of a large fleet.
func TestTooLargePartIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	omitted := 0
	ex := newExchange(&omitted)
	ex.Register(loadreport.KindQueues, (&fakePart{body: []byte("q")}).part())
	ex.Register(loadreport.KindUsage, (&fakePart{body: bytes.Repeat([]byte("u"), loadreport.MaxBytes)}).part())
	g.Expect(len(ex.Encode())).To(BeNumerically("<", 20))
	g.Expect(omitted).To(Equal(1))
}

// TestMalformedReportIsNotApplied guards against a part that applies half of a damaged report.
func TestMalformedReportIsNotApplied(t *testing.T) {
	tests := map[string][]byte{
		"truncated length":   {1},
		"truncated body":     {1, 5, 'x'},
		"second part broken": {1, 1, 'x', 3, 9},
		"too large":          make([]byte, loadreport.MaxBytes+1),
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			omitted := 0
			ex := newExchange(&omitted)
			pt := &fakePart{}
			ex.Register(loadreport.KindQueues, pt.part())
			var me *peercodec.MalformedError
			g.Expect(ex.Receive("a", b, time.Now())).To(BeAssignableToTypeOf(me))
			g.Expect(pt.received).To(BeEmpty())
		})
	}
}

// TestReportsOfAllPeersAreBounded guards against load reports that are sent with each request, and against an instance of a large fleet
// that receives as many reports as it has peers ten times a second.
func TestReportsOfAllPeersAreBounded(t *testing.T) {
	tests := map[string]struct {
		members int
		want    float64
	}{"alone": {0, 10}, "fleet of 86": {85, 10}, "fleet of 985": {984, 1}, "twice as large": {1969, 0.5}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 10
				var published atomic.Int64
				ex := loadreport.New(time.Now, &log.Logger{Handler: discard.New()}, nil, loadreport.WithMembers(func() int { return tc.members }))
				ex.SetPublish(func() { published.Add(1) })
				for range seconds * 1000 {
					ex.Publish()
					time.Sleep(time.Millisecond)
				}
				NewWithT(t).Expect(float64(published.Load()) / seconds).To(BeNumerically("~", tc.want, 0.2))
				time.Sleep(seconds * time.Second)
			})
		})
	}
}
