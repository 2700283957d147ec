package completion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/completion"
)

var start = time.Unix(1000, 0)

// observe adds first tokens with a ratio of observed to predicted time, at regular intervals over a period, and returns its end.
func observe(es *completion.Errors, ratio float64, from time.Time, period, interval time.Duration) time.Time {
	for since := interval; since <= period; since += interval {
		es.ObserveFirstToken(completion.Short, time.Duration(ratio*float64(100*time.Millisecond)), 100*time.Millisecond, from.Add(since))
	}
	return from.Add(period)
}

// TestErrorFollowsChangeWithinTwoSeconds guards against admission by the pace of a phase that is over.
func TestErrorFollowsChangeWithinTwoSeconds(t *testing.T) {
	for name, interval := range map[string]time.Duration{"20 answers a second": 50 * time.Millisecond, "3 answers a second": 330 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var es completion.Errors
			now := observe(&es, 1, start, 5*time.Second, interval)
			g.Expect(es.FirstToken(completion.Short, now).P90).To(Equal(1.0))
			now = observe(&es, 3, now, 2*time.Second+interval, interval)
			qs := es.FirstToken(completion.Short, now)
			g.Expect(qs.P50).To(Equal(3.0))
			g.Expect(qs.P90).To(Equal(3.0))
			now = observe(&es, 1, now, 2*time.Second+interval, interval)
			g.Expect(es.FirstToken(completion.Short, now).P90).To(Equal(1.0))
		})
	}
}

// TestSingleOddAnswerDoesNotMoveError guards against refusals of all prompts after one answer that took 100 times its prediction.
func TestSingleOddAnswerDoesNotMoveError(t *testing.T) {
	for name, answers := range map[string]int{"few answers": 2, "some answers": 7, "many answers": 60} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var es completion.Errors
			now := observe(&es, 1.2, start, time.Duration(answers)*time.Millisecond, time.Millisecond)
			now = observe(&es, 100, now, time.Millisecond, time.Millisecond)
			qs := es.FirstToken(completion.Short, now)
			g.Expect(qs.P50).To(Equal(1.2))
			g.Expect(qs.P90).To(Equal(1.2))
		})
	}
}

// TestTooFewSamplesGiveNoError guards against an instance that has just started and judges by its first answer.
func TestTooFewSamplesGiveNoError(t *testing.T) {
	g := NewWithT(t)
	var es completion.Errors
	now := observe(&es, 5, start, 2*time.Millisecond, time.Millisecond)
	g.Expect(es.FirstToken(completion.Short, now).P90).To(Equal(1.0))
	now = observe(&es, 5, now, time.Millisecond, time.Millisecond)
	g.Expect(es.FirstToken(completion.Short, now).P50).To(Equal(5.0))
	g.Expect(es.FirstToken(completion.Long, now).P50).To(Equal(1.0), "kinds are separate")
	g.Expect(es.FirstToken(completion.Short, now.Add(9*time.Second)).P50).To(Equal(1.0), "old samples do not count")
}

// TestRatiosAreBounded guards against a prediction of nothing that gives an infinite ratio.
func TestRatiosAreBounded(t *testing.T) {
	g := NewWithT(t)
	var es completion.Errors
	for range 200 {
		es.ObserveFirstToken(completion.Short, time.Hour, time.Nanosecond, start)
		es.ObservePause(completion.Short, time.Second, 0, start)
		es.ObserveDuration(completion.Short, 2*time.Second, start)
	}
	g.Expect(es.FirstToken(completion.Short, start).P50).To(BeNumerically("<=", 1000))
	g.Expect(es.Pause(completion.Short, start)).To(Equal(completion.Quantiles{P50: 1, P90: 1, Samples: 64}))
	took, known := es.Duration(completion.Short, start)
	g.Expect(took).To(Equal(2 * time.Second))
	g.Expect(known).To(BeTrue())
	_, known = es.Duration(completion.Long, start)
	g.Expect(known).To(BeFalse())
}
