package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestFailureDetector(t *testing.T) {
	const timeout = 500 * time.Millisecond
	tests := map[string]struct {
		// delay is the time between a response and a failed call.
		delay time.Duration
		want  []bool
	}{
		"failure right after a response": {10 * time.Millisecond, []bool{true, true}},
		"failure after the timeout":      {timeout, []bool{true, false, true}},
		"failure of a long watch":        {1250 * time.Millisecond, []bool{true, false, true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reports []bool
				fd := newFailureDetector(timeout, func(answered bool) { reports = append(reports, answered) })
				fd.recordSuccess()
				time.Sleep(tc.delay)
				fd.recordFailure()
				fd.recordSuccess()
				NewWithT(t).Expect(reports).To(Equal(tc.want))
			})
		})
	}
}
