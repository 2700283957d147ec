package body_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/body"
	"github.com/silvermount/silvermount/internal/budget"
	"github.com/silvermount/silvermount/internal/failure"
)

// chunk is the number of bytes by which the memory reserved for a body of unknown length grows.
const chunk = 64 << 10

func TestRead(t *testing.T) {
	truncated := func(n int) io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	timedOut := func(n int) io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(os.ErrDeadlineExceeded))
	}
	complete := func(n int) io.Reader { return strings.NewReader(strings.Repeat("x", n)) }
	tests := map[string]struct {
		src io.Reader
		// length is the announced length of the body, or negative if it is unknown. memory is the size of the budget, maxBytes the
		// limit of the reader, wantLen the number of bytes that it returns.
		length, memory, maxBytes int64
		wantLen                  int
		// wantUsed is the memory that is in use until it is freed.
		wantUsed int64
		wantCode failure.Code
	}{
		"no body":                                       {complete(0), 0, 10, 10, 0, 0, ""},
		"known length":                                  {complete(10), 10, 10, 10, 10, 10, ""},
		"known length, too large":                       {complete(11), 11, 20, 10, 0, 0, failure.TooLarge},
		"known length, no memory":                       {complete(10), 10, 9, 10, 0, 0, failure.NoMemory},
		"known length, truncated":                       {truncated(5), 10, 10, 10, 0, 10, failure.CallerGone},
		"known length, timeout":                         {timedOut(5), 10, 10, 10, 0, 10, failure.DeadlineExceeded},
		"unknown length, timeout":                       {timedOut(5), -1, chunk, 10, 0, chunk, failure.DeadlineExceeded},
		"unknown length":                                {complete(10), -1, chunk, 10, 10, chunk, ""},
		"unknown length, empty":                         {complete(0), -1, chunk, 10, 0, chunk, ""},
		"unknown length, several chunks":                {complete(chunk + 1), -1, 2 * chunk, 2 * chunk, chunk + 1, 2 * chunk, ""},
		"unknown length, too large":                     {complete(11), -1, chunk, 10, 0, chunk, failure.TooLarge},
		"unknown length, no memory":                     {complete(10), -1, chunk - 1, 10, 0, 0, failure.NoMemory},
		"unknown length, no memory for second chunk":    {complete(chunk + 1), -1, chunk, 2 * chunk, 0, chunk, failure.NoMemory},
		"unknown length, truncated":                     {truncated(5), -1, chunk, 10, 0, chunk, failure.CallerGone},
		"unknown length, truncated after a whole chunk": {truncated(chunk), -1, 2 * chunk, 2 * chunk, 0, 2 * chunk, failure.CallerGone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mm := budget.NewMemory(tc.memory)
			rd := body.Reader{
				Memory: mm, MaxBytes: tc.maxBytes, RetryAfter: time.Second,
				IncompleteCode: failure.CallerGone, TimeoutCode: failure.DeadlineExceeded,
			}
			r := httptest.NewRequest(http.MethodPost, "/", tc.src)
			r.ContentLength = tc.length
			b, free, err := rd.Read(r)
			g.Expect(mm.Used()).To(Equal(tc.wantUsed))
			free()
			g.Expect(mm.Used()).To(BeZero())
			g.Expect(bytes.Equal(b, bytes.Repeat([]byte("x"), tc.wantLen))).To(BeTrue(), "%d bytes", len(b))
			if tc.wantCode == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			fe := failure.FromError(err)
			g.Expect(fe.Code).To(Equal(tc.wantCode))
			g.Expect(fe.Outcome).To(Equal(failure.NotRun))
			wantRetryAfter := tc.wantCode == failure.NoMemory || tc.wantCode == failure.DeadlineExceeded
			g.Expect(fe.RetryAfter > 0).To(Equal(wantRetryAfter))
		})
	}
}
