package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/routes"
)

// acquireSampled acquires a slot for a short prompt at a single engine, with the samples that are recorded from then on.
func acquireSampled(t *testing.T) (*harness, *dispatch.Slot, *[]dispatch.Sample) {
	samples := &[]dispatch.Sample{}
	hs := newHarness(t, 1, func(op *dispatch.Options) { op.OnSample = func(sa dispatch.Sample) { *samples = append(*samples, sa) } })
	rq := plainRequest()
	rq.PromptTokens, rq.Service = shortClass.tokens, routes.Service{Name: "s", Engine: &simEngineConfig}
	sl, err := hs.Acquire(t.Context(), rq)
	hs.Expect(err).NotTo(HaveOccurred())
	return hs, sl, samples
}

func ofKind(samples []dispatch.Sample, kind dispatch.SampleKind) (some []dispatch.Sample) {
	for _, sa := range samples {
		if sa.Kind == kind {
			some = append(some, sa)
		}
	}
	return some
}

// TestEventsAreSampledAsPasses guards against samples that count the time to the first event, or the time that a caller took, as a pass.
func TestEventsAreSampledAsPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs, sl, samples := acquireSampled(t)
		time.Sleep(time.Second)
		sl.RecordFirstToken()
		sl.RecordEvent()
		hs.Expect(ofKind(*samples, dispatch.SamplePass)).To(BeEmpty())
		time.Sleep(100 * time.Millisecond)
		sl.RecordEvent()
		time.Sleep(time.Second)
		sl.SkipPass()
		sl.RecordEvent()
		time.Sleep(50 * time.Millisecond)
		sl.RecordEvent()
		passes := ofKind(*samples, dispatch.SamplePass)
		hs.Expect(passes).To(HaveLen(2))
		hs.Expect(passes[0].Observed).To(Equal(100 * time.Millisecond))
		hs.Expect(passes[1].Observed).To(Equal(50 * time.Millisecond))
		hs.Expect(passes[1].Predicted).To(BeNumerically("~", 50*time.Millisecond, 10*time.Millisecond))
	})
}

// TestPrefillKnownLateExplainsAPass guards against a target that counts as slow because peers placed a prompt there.
func TestPrefillKnownLateExplainsAPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hs, sl, samples := acquireSampled(t)
		sl.RecordFirstToken()
		sl.RecordEvent()
		rq := plainRequest()
		rq.ID, rq.PromptTokens, rq.Service = "other", 20_000, routes.Service{Name: "s", Engine: &simEngineConfig}
		other, err := hs.Acquire(t.Context(), rq)
		hs.Expect(err).NotTo(HaveOccurred())
		time.Sleep(130 * time.Millisecond)
		sl.RecordEvent()
		other.Release()
		passes := ofKind(*samples, dispatch.SamplePass)
		hs.Expect(passes).To(HaveLen(1))
		hs.Expect(passes[0].Predicted).To(BeNumerically(">", 120*time.Millisecond))
	})
}

// TestOutcomesAreSampled guards against a return that continues although the target fails.
func TestOutcomesAreSampled(t *testing.T) {
	tests := map[string]struct {
		record func(sl *dispatch.Slot)
		want   dispatch.SampleKind
	}{
		"first token":   {func(sl *dispatch.Slot) { sl.RecordFirstToken() }, dispatch.SampleFirstToken},
		"shed":          {func(sl *dispatch.Slot) { sl.RecordShed("") }, dispatch.SampleShed},
		"broken off":    {func(sl *dispatch.Slot) { sl.RecordFailure() }, dispatch.SampleFailure},
		"failed answer": {func(sl *dispatch.Slot) { sl.RecordFailedAnswer() }, dispatch.SampleFailure},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hs, sl, samples := acquireSampled(t)
				tc.record(sl)
				hs.Expect(*samples).To(HaveLen(1))
				hs.Expect((*samples)[0].Kind).To(Equal(tc.want))
				hs.Expect((*samples)[0].Target).To(Equal(sl.Target.ID))
				time.Sleep(settleTime)
			})
		})
	}
}

// TestLongPromptsAvoidUnprovenTargets guards against a long prompt, or a part of one, that uses up the pace of a target that just returned.
func TestLongPromptsAvoidUnprovenTargets(t *testing.T) {
	// chosenBy returns the targets that a few long prompts use.
	chosenBy := func(t *testing.T, returning func(target string) (bool, bool)) (ids []string) {
		synctest.Test(t, func(t *testing.T) {
			hs := newHarness(t, 12, func(op *dispatch.Options) { op.Returning = returning })
			for i := range 3 {
				rq := plainRequest()
				rq.ID, rq.PromptTokens, rq.Objective = fmt.Sprint("long-", i), 100_000, longClass.objective
				rq.Service = routes.Service{Name: "s", Engine: &simEngineConfig}
				sl, err := hs.Acquire(t.Context(), rq)
				hs.Expect(err).NotTo(HaveOccurred())
				ids = append(ids, sl.TargetIDs()...)
			}
		})
		return ids
	}
	g := NewWithT(t)
	preferred := chosenBy(t, nil)[0]
	g.Expect(chosenBy(t, func(target string) (bool, bool) { return target == preferred, false })).NotTo(ContainElement(preferred))
}
