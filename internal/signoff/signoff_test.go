package signoff

import (
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/bundle"
	"github.com/silvermount/silvermount/internal/config"
	"github.com/silvermount/silvermount/internal/localfleet"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/standin/platformsim"
)

func newClient(t *testing.T) (*Client, *platformsim.Store) {
	t.Helper()
	store := platformsim.New()
	srv, err := localfleet.Serve(store.Handler())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(srv.Close)
	return New(objectstore.New(srv.URL)), store
}

func bundleWithClass(name string) bundle.Bundle {
	return bundle.Bundle{Classes: []bundle.Class{{
		Name: name, Deadline: config.Duration(time.Second), Objective: bundle.Objective{Share: 0.9},
	}}}
}

func TestConcurrentAcceptsHaveOneWinner(t *testing.T) {
	g := NewWithT(t)
	cl, _ := newClient(t)
	const operators = 6
	versions := make([]int64, operators)
	for i := range operators {
		v, err := cl.Push(t.Context(), bundleWithClass(string(rune('a'+i))))
		g.Expect(err).NotTo(HaveOccurred())
		versions[i] = v
	}
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for i, v := range versions {
		wg.Go(func() { errs[i] = cl.Accept(t.Context(), v) })
	}
	wg.Wait()
	accepted, _, err := cl.acceptedPointer(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	winners := 0
	for i, err := range errs {
		if err == nil {
			winners++
			g.Expect(accepted.Version).To(Equal(versions[i]))
			continue
		}
		var race *RaceError
		g.Expect(errors.As(err, &race)).To(BeTrue(), "%v", err)
		g.Expect(race.AcceptedVersion).To(Equal(accepted.Version))
	}
	g.Expect(winners).To(Equal(1))
}

func TestPushAndAcceptAreIdempotentAfterLostAnswers(t *testing.T) {
	g := NewWithT(t)
	cl, store := newClient(t)
	store.LoseResponses(1)
	v, err := cl.Push(t.Context(), bundleWithClass("a"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v).To(Equal(int64(1)))
	store.LoseResponses(1)
	g.Expect(cl.Accept(t.Context(), v)).To(Succeed())
	g.Expect(cl.Accept(t.Context(), v)).To(Succeed())
	again, err := cl.Push(t.Context(), bundleWithClass("b"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(int64(2)))
}

func TestDiff(t *testing.T) {
	tests := map[string]struct {
		old, next bundle.Bundle
		want      int
	}{
		"same":    {old: bundleWithClass("a"), next: bundleWithClass("a")},
		"added":   {next: bundleWithClass("a"), want: 1},
		"renamed": {old: bundleWithClass("a"), next: bundleWithClass("b"), want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Diff(tc.old, tc.next)).To(HaveLen(tc.want))
		})
	}
}
