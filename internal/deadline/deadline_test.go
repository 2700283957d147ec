package deadline_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/deadline"
)

func TestForRequest(t *testing.T) {
	tests := map[string]struct{ maxDuration, requested, want time.Duration }{
		"caller requests none": {2 * time.Second, 0, 2 * time.Second},
		"caller requests less": {2 * time.Second, time.Second, time.Second},
		"caller requests more": {2 * time.Second, time.Minute, 2 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			arrived := time.Unix(100, 0)
			dl := deadline.ForRequest(arrived, tc.maxDuration, tc.requested)
			g.Expect(dl.At).To(Equal(arrived.Add(tc.want)))
			ctx, cancel := dl.Context(t.Context())
			defer cancel()
			at, ok := ctx.Deadline()
			g.Expect(ok).To(BeTrue())
			g.Expect(at).To(Equal(dl.At))
		})
	}
}

// connection records the deadlines that were set.
type connection struct {
	http.ResponseWriter
	readDeadline, writeDeadline time.Time
}

// SetReadDeadline records the deadline.
func (cn *connection) SetReadDeadline(t time.Time) error { cn.readDeadline = t; return nil }

// SetWriteDeadline records the deadline.
func (cn *connection) SetWriteDeadline(t time.Time) error { cn.writeDeadline = t; return nil }

func TestApply(t *testing.T) {
	dl := deadline.Deadline{At: time.Unix(100, 0)}
	tests := map[string]struct{ bodyBy, want time.Time }{
		"body deadline at the deadline":     {dl.At, dl.At},
		"body deadline before the deadline": {dl.At.Add(-time.Second), dl.At.Add(-time.Second)},
		"body deadline after the deadline":  {dl.At.Add(time.Second), dl.At},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cn := &connection{ResponseWriter: httptest.NewRecorder()}
			rc := http.NewResponseController(cn)
			g.Expect(dl.Apply(rc, tc.bodyBy)).To(Succeed())
			g.Expect(cn.readDeadline).To(Equal(tc.want))
			g.Expect(cn.writeDeadline).To(BeTemporally(">", dl.At), "a final error response is written after the deadline")
			g.Expect(dl.ClearReadDeadline(rc)).To(Succeed())
			g.Expect(cn.readDeadline.IsZero()).To(BeTrue())
			g.Expect(cn.writeDeadline).To(BeTemporally(">", dl.At))
		})
	}
}

func TestExtendWriteDeadline(t *testing.T) {
	dl := deadline.Deadline{At: time.Unix(100, 0)}
	inTime := &connection{ResponseWriter: httptest.NewRecorder()}
	g := NewWithT(t)
	g.Expect(dl.ExtendWriteDeadline(http.NewResponseController(inTime), dl.At.Add(-time.Second))).To(Succeed())
	g.Expect(inTime.writeDeadline).To(BeTemporally(">", dl.At))
	late := &connection{ResponseWriter: httptest.NewRecorder()}
	g.Expect(dl.ExtendWriteDeadline(http.NewResponseController(late), dl.At.Add(time.Minute))).To(Succeed())
	g.Expect(late.writeDeadline).To(BeTemporally("~", inTime.writeDeadline.Add(time.Minute)),
		"as much time as a write that starts before the deadline")
}
