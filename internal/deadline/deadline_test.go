package deadline_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/deadline"
)

func TestOf(t *testing.T) {
	tests := map[string]struct{ most, asked, want time.Duration }{
		"caller asks for nothing": {2 * time.Second, 0, 2 * time.Second},
		"caller asks for less":    {2 * time.Second, time.Second, time.Second},
		"caller asks for more":    {2 * time.Second, time.Minute, 2 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			arrived := time.Unix(100, 0)
			dl := deadline.ForRequest(arrived, tc.most, tc.asked)
			g.Expect(dl.At).To(Equal(arrived.Add(tc.want)))
			ctx, cancel := dl.Context(t.Context())
			defer cancel()
			at, ok := ctx.Deadline()
			g.Expect(ok).To(BeTrue())
			g.Expect(at).To(Equal(dl.At))
		})
	}
}

// connection keeps the bounds that it was given.
type connection struct {
	http.ResponseWriter
	read, write time.Time
}

// SetReadDeadline notes the bound.
func (cn *connection) SetReadDeadline(t time.Time) error { cn.read = t; return nil }

// SetWriteDeadline notes the bound.
func (cn *connection) SetWriteDeadline(t time.Time) error { cn.write = t; return nil }

func TestBind(t *testing.T) {
	dl := deadline.Deadline{At: time.Unix(100, 0)}
	tests := map[string]struct{ bodyBy, want time.Time }{
		"body bound by the deadline":  {dl.At, dl.At},
		"body bound earlier":          {dl.At.Add(-time.Second), dl.At.Add(-time.Second)},
		"never later than the answer": {dl.At.Add(time.Second), dl.At},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cn := &connection{ResponseWriter: httptest.NewRecorder()}
			rc := http.NewResponseController(cn)
			g.Expect(dl.Apply(rc, tc.bodyBy)).To(Succeed())
			g.Expect(cn.read).To(Equal(tc.want))
			g.Expect(cn.write).To(BeTemporally(">", dl.At), "the final error is written after the deadline")
			g.Expect(dl.ClearReadDeadline(rc)).To(Succeed())
			g.Expect(cn.read.IsZero()).To(BeTrue())
			g.Expect(cn.write).To(BeTemporally(">", dl.At))
		})
	}
}

func TestBindAnswer(t *testing.T) {
	dl := deadline.Deadline{At: time.Unix(100, 0)}
	inTime := &connection{ResponseWriter: httptest.NewRecorder()}
	g := NewWithT(t)
	g.Expect(dl.ExtendWriteDeadline(http.NewResponseController(inTime), dl.At.Add(-time.Second))).To(Succeed())
	g.Expect(inTime.write).To(BeTemporally(">", dl.At))
	late := &connection{ResponseWriter: httptest.NewRecorder()}
	g.Expect(dl.ExtendWriteDeadline(http.NewResponseController(late), dl.At.Add(time.Minute))).To(Succeed())
	g.Expect(late.write).To(BeTemporally("~", inTime.write.Add(time.Minute)), "as long as one that begins in time")
}
