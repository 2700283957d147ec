package reply_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/reply"
)

var errBroken = errors.New("connection broken")

// connection breaks where it is told to.
type connection struct {
	*httptest.ResponseRecorder
	write, flush error
}

// Write fails or records.
func (cn *connection) Write(b []byte) (int, error) {
	if cn.write != nil {
		return 0, cn.write
	}
	return cn.ResponseRecorder.Write(b)
}

// FlushError fails or records.
func (cn *connection) FlushError() error {
	if cn.flush == nil {
		cn.Flush()
	}
	return cn.flush
}

func TestPass(t *testing.T) {
	tests := map[string]struct {
		write, flush error
		asksFlush    bool
		wantErr      bool
		wantFlushed  bool
	}{
		"held back":               {},
		"sent at once":            {asksFlush: true, wantFlushed: true},
		"caller gone":             {write: errBroken, asksFlush: true, wantErr: true},
		"caller gone meanwhile":   {flush: errBroken, asksFlush: true, wantErr: true},
		"not noticed without one": {flush: errBroken},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cn := &connection{ResponseRecorder: httptest.NewRecorder(), write: tc.write, flush: tc.flush}
			wr := reply.New(cn)
			wr.Start(http.StatusOK)
			err := wr.Forward([]byte("part"), tc.asksFlush)
			g.Expect(cn.Flushed).To(Equal(tc.wantFlushed))
			if !tc.wantErr {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(failure.FromError(err).Code).To(Equal(failure.CallerGone))
			g.Expect(failure.FromError(err).Outcome).To(Equal(failure.Failed))
			g.Expect(errors.Is(err, errBroken)).To(BeTrue())
		})
	}
}

func TestStartKeepsTheFirstStatus(t *testing.T) {
	g := NewWithT(t)
	rec := httptest.NewRecorder()
	wr := reply.New(rec)
	g.Expect(wr.Started()).To(BeFalse())
	wr.Header().Set("Content-Type", "text/plain")
	wr.Start(http.StatusAccepted)
	wr.Start(http.StatusBadGateway)
	g.Expect(wr.Started()).To(BeTrue())
	g.Expect(wr.Status()).To(Equal(http.StatusAccepted))
	g.Expect(rec.Code).To(Equal(http.StatusAccepted))
	g.Expect(rec.Header().Get("Content-Type")).To(Equal("text/plain"))
}

// TestAnswerAfterItsBoundReachesTheCaller begins an answer, or goes on with one, long after it was due.
func TestAnswerAfterItsBoundReachesTheCaller(t *testing.T) {
	tests := map[string]struct {
		due time.Duration
		// held is how long the process stands still before the last part.
		held time.Duration
	}{
		"begun late":   {due: -time.Minute},
		"gone on late": {due: 20 * time.Millisecond, held: 500 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				due := deadline.Deadline{At: time.Now().Add(tc.due)}
				wr := reply.New(w)
				if err := due.Apply(wr.Controller(), time.Now().Add(time.Minute)); err != nil {
					t.Error(err)
				}
				wr.SetDeadline(due)
				wr.Start(http.StatusGatewayTimeout)
				if err := wr.Forward([]byte("first,"), true); err != nil {
					t.Error(err)
				}
				time.Sleep(tc.held)
				if err := wr.Forward([]byte("last"), true); err != nil {
					t.Error(err)
				}
			}))
			defer sv.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, sv.URL, http.NoBody)
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultTransport.RoundTrip(r)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
			g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("first,last"))
		})
	}
}
