package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
)

// long asks for a prompt that is read for two seconds.
func (be *clocked) long() dispatch.Ask {
	as := be.short()
	as.PromptTokens = 140_000
	as.Objective = 2500 * time.Millisecond
	as.LongestPause = time.Second
	as.Deadline = as.Arrived.Add(15 * time.Second)
	return as
}

func TestALateLongPromptWaitsWhileItWouldHarmOthers(t *testing.T) {
	const objective = 2500 * time.Millisecond
	cases := map[string]struct {
		writers     int
		used        time.Duration
		least, most time.Duration
	}{
		"no others":               {used: 3 * time.Second},
		"others are in time":      {writers: 8, used: 3 * time.Second, least: 3 * time.Second, most: 4 * time.Second},
		"it has waited for long":  {writers: 8, used: 7 * time.Second},
		"it can still be in time": {writers: 8},
	}
	for name, ca := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				be := newClockedAt(time.Now, "t1")
				be.writing(g, ca.writers)
				as := be.long()
				as.Arrived = as.Arrived.Add(-ca.used)
				as.Deadline = as.Arrived.Add(6 * objective)
				began := time.Now()
				sl, err := be.ds.Acquire(context.Background(), as)
				g.Expect(err).NotTo(HaveOccurred())
				sl.Release()
				g.Expect(time.Since(began)).To(BeNumerically(">=", ca.least))
				g.Expect(time.Since(began)).To(BeNumerically("<=", ca.most))
			})
		})
	}
}

// writing starts short answers that are in time.
func (be *clocked) writing(g *WithT, count int) {
	for range count {
		sl, err := be.ds.Acquire(context.Background(), be.short())
		g.Expect(err).NotTo(HaveOccurred())
		sl.FirstToken()
	}
}
