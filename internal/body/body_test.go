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

// chunk is the step in which bodies of unknown length are accounted for.
const chunk = 64 << 10

func TestRead(t *testing.T) {
	torn := func(n int) io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	slow := func(n int) io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(os.ErrDeadlineExceeded))
	}
	whole := func(n int) io.Reader { return strings.NewReader(strings.Repeat("x", n)) }
	tests := map[string]struct {
		from io.Reader
		// length is the announced one; negative when it is unknown.
		length, memory, most int64
		want                 int
		// wantTaken is the memory in use until it is given back.
		wantTaken int64
		wantCode  failure.Code
	}{
		"no body":                           {whole(0), 0, 10, 10, 0, 0, ""},
		"of known length":                   {whole(10), 10, 10, 10, 10, 10, ""},
		"of known length, too large":        {whole(11), 11, 20, 10, 0, 0, failure.TooLarge},
		"of known length, no memory":        {whole(10), 10, 9, 10, 0, 0, failure.NoMemory},
		"of known length, torn":             {torn(5), 10, 10, 10, 0, 10, failure.CallerGone},
		"of known length, too slow":         {slow(5), 10, 10, 10, 0, 10, failure.DeadlineExceeded},
		"of unknown length, too slow":       {slow(5), -1, chunk, 10, 0, chunk, failure.DeadlineExceeded},
		"of unknown length":                 {whole(10), -1, chunk, 10, 10, chunk, ""},
		"of unknown length, empty":          {whole(0), -1, chunk, 10, 0, chunk, ""},
		"of unknown length, several steps":  {whole(chunk + 1), -1, 2 * chunk, 2 * chunk, chunk + 1, 2 * chunk, ""},
		"of unknown length, too large":      {whole(11), -1, chunk, 10, 0, chunk, failure.TooLarge},
		"of unknown length, no memory":      {whole(10), -1, chunk - 1, 10, 0, 0, failure.NoMemory},
		"of unknown length, none any more":  {whole(chunk + 1), -1, chunk, 2 * chunk, 0, chunk, failure.NoMemory},
		"of unknown length, torn":           {torn(5), -1, chunk, 10, 0, chunk, failure.CallerGone},
		"of unknown length, torn at a step": {torn(chunk), -1, 2 * chunk, 2 * chunk, 0, 2 * chunk, failure.CallerGone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mm := budget.NewMemory(tc.memory)
			rd := body.Reader{Memory: mm, MaxBytes: tc.most, RetryAfter: time.Second, IncompleteCode: failure.CallerGone, TimeoutCode: failure.DeadlineExceeded}
			r := httptest.NewRequest(http.MethodPost, "/", tc.from)
			r.ContentLength = tc.length
			b, free, err := rd.Read(r)
			g.Expect(mm.Used()).To(Equal(tc.wantTaken))
			free()
			g.Expect(mm.Used()).To(BeZero())
			g.Expect(bytes.Equal(b, bytes.Repeat([]byte("x"), tc.want))).To(BeTrue(), "%d bytes", len(b))
			if tc.wantCode == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			fe := failure.FromError(err)
			g.Expect(fe.Code).To(Equal(tc.wantCode))
			g.Expect(fe.Outcome).To(Equal(failure.NotRun))
			comesBack := tc.wantCode == failure.NoMemory || tc.wantCode == failure.DeadlineExceeded
			g.Expect(fe.RetryAfter > 0).To(Equal(comesBack))
		})
	}
}
