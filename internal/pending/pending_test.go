package pending_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pending"
)

func TestWait(t *testing.T) {
	cases := map[string]struct {
		// work holds how long each piece takes; each begins the next.
		work    []time.Duration
		patient time.Duration
		wantErr bool
	}{
		"nothing":        {nil, time.Second, false},
		"one":            {[]time.Duration{time.Second}, 2 * time.Second, false},
		"one after one":  {[]time.Duration{time.Second, time.Second}, 3 * time.Second, false},
		"takes too long": {[]time.Duration{3 * time.Second}, 2 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				// The work of every case has ended by then.
				defer time.Sleep(time.Minute)
				var ct pending.Counter
				begin(&ct, tc.work)
				ctx, cancel := context.WithTimeout(t.Context(), tc.patient)
				defer cancel()
				err := ct.Wait(ctx)
				if tc.wantErr {
					g.Expect(err).To(MatchError(context.DeadlineExceeded))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
			})
		})
	}
}

// begin begins the first piece of work; each piece begins the next before it ends.
func begin(ct *pending.Counter, work []time.Duration) {
	if len(work) == 0 {
		return
	}
	end := ct.Begin()
	go func() {
		defer end()
		time.Sleep(work[0])
		begin(ct, work[1:])
	}()
}
