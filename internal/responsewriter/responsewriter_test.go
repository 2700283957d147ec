package responsewriter_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/deadline"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/responsewriter"
)

var errBroken = errors.New("connection broken")

// connection is a connection whose writes and flushes can fail.
type connection struct {
	*httptest.ResponseRecorder
	writeErr, flushErr error
}

// Write returns writeErr if it is set, and records otherwise.
func (cn *connection) Write(b []byte) (int, error) {
	if cn.writeErr != nil {
		return 0, cn.writeErr
	}
	return cn.ResponseRecorder.Write(b)
}

// FlushError returns flushErr, and records the flush if that is nil.
func (cn *connection) FlushError() error {
	if cn.flushErr == nil {
		cn.Flush()
	}
	return cn.flushErr
}

func TestForward(t *testing.T) {
	tests := map[string]struct {
		writeErr, flushErr error
		flush              bool
		wantErr            bool
		wantCode           failure.Code
		wantFlushed        bool
	}{
		"without flush":                      {},
		"with flush":                         {flush: true, wantFlushed: true},
		"write fails":                        {writeErr: errBroken, flush: true, wantErr: true, wantCode: failure.CallerGone},
		"flush fails":                        {flushErr: errBroken, flush: true, wantErr: true, wantCode: failure.CallerGone},
		"write deadline passes":              {writeErr: os.ErrDeadlineExceeded, wantErr: true, wantCode: failure.WriteTimeout},
		"write deadline passes at the flush": {flushErr: os.ErrDeadlineExceeded, flush: true, wantErr: true, wantCode: failure.WriteTimeout},
		"failure not detected without flush": {flushErr: errBroken},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cn := &connection{ResponseRecorder: httptest.NewRecorder(), writeErr: tc.writeErr, flushErr: tc.flushErr}
			wr := responsewriter.New(cn)
			wr.Start(http.StatusOK)
			err := wr.Forward([]byte("part"), tc.flush)
			g.Expect(cn.Flushed).To(Equal(tc.wantFlushed))
			if !tc.wantErr {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(failure.FromError(err).Code).To(Equal(tc.wantCode))
			g.Expect(failure.FromError(err).Outcome).To(Equal(failure.Failed))
			g.Expect(errors.Is(err, errors.CombineErrors(tc.writeErr, tc.flushErr))).To(BeTrue())
		})
	}
}

func TestStartKeepsFirstStatus(t *testing.T) {
	g := NewWithT(t)
	rec := httptest.NewRecorder()
	wr := responsewriter.New(rec)
	g.Expect(wr.Started()).To(BeFalse())
	wr.Header().Set("Content-Type", "text/plain")
	wr.Start(http.StatusAccepted)
	wr.Start(http.StatusBadGateway)
	g.Expect(wr.Started()).To(BeTrue())
	g.Expect(wr.Status()).To(Equal(http.StatusAccepted))
	g.Expect(rec.Code).To(Equal(http.StatusAccepted))
	g.Expect(rec.Header().Get("Content-Type")).To(Equal("text/plain"))
}

// TestResponseAfterDeadlineReachesCaller starts or continues a response long after its deadline.
func TestResponseAfterDeadlineReachesCaller(t *testing.T) {
	tests := map[string]struct {
		deadline time.Duration
		// stall is how long the process is stalled before the last part.
		stall time.Duration
	}{
		"started late":   {deadline: -time.Minute},
		"continued late": {deadline: 20 * time.Millisecond, stall: 500 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				dl := deadline.Deadline{At: time.Now().Add(tc.deadline)}
				wr := responsewriter.New(w)
				if err := dl.Apply(wr.Controller(), time.Now().Add(time.Minute)); err != nil {
					t.Error(err)
				}
				wr.SetDeadline(dl)
				wr.Start(http.StatusGatewayTimeout)
				if err := wr.Forward([]byte("first,"), true); err != nil {
					t.Error(err)
				}
				time.Sleep(tc.stall)
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
