package targetloss_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/targetloss"
)

const target = "t"

// at returns the time some milliseconds after the beginning of a test.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// order is an order without an answer: when it was sent and when it failed, in milliseconds.
type order struct{ sentMS, failedMS int }

// TestEvidenceBecomesCertain guards against attempts that are ended on evidence that does not prove the loss of the target, and against
// evidence that is never used.
func TestEvidenceBecomesCertain(t *testing.T) {
	one, two := []order{{0, 400}}, []order{{0, 400}, {1000, 1400}}
	const none = targetloss.Kind("")
	tests := map[string]struct {
		orders  []order
		answer  bool
		finding targetloss.Finding
		// signMS is when another target was last heard, in milliseconds; negative for never.
		signMS int
		want   targetloss.Kind
	}{
		"one order, target accepts connections":      {one, false, targetloss.FoundConnected, -1, none},
		"two orders, target accepts connections":     {two, false, targetloss.FoundConnected, -1, targetloss.Unanswered},
		"two orders at the same time":                {[]order{{0, 400}, {10, 410}}, false, targetloss.FoundConnected, -1, none},
		"orders of two prompts, 401 ms apart":        {[]order{{0, 400}, {401, 801}}, false, targetloss.FoundConnected, -1, none},
		"two orders, the first long ago":             {[]order{{0, 400}, {9000, 9400}}, false, targetloss.FoundConnected, -1, none},
		"two orders and an answer":                   {two, true, targetloss.FoundConnected, -1, none},
		"one order, a peer does not reach it either": {one, false, targetloss.FoundUnreachable, -1, targetloss.Unreachable},
		"one order, connections refused":             {one, false, targetloss.FoundRefused, -1, targetloss.Refused},
		"two orders, a peer reaches it":              {two, false, targetloss.FoundByPeer, 1500, none},
		"two orders, nothing known":                  {two, false, targetloss.FoundNothing, 1500, none},
		"two orders, no peer, others heard since":    {two, false, targetloss.FoundAlone, 1500, targetloss.Unanswered},
		"two orders, no peer, others not heard":      {two, false, targetloss.FoundAlone, -1, none},
		"one order, no peer, others heard since":     {one, false, targetloss.FoundAlone, 500, none},
		"one order, no peer, connection refused":     {one, false, targetloss.FoundRefusedAlone, -1, targetloss.Refused},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := targetloss.NewTracker()
			for _, od := range tc.orders {
				tr.RecordUnanswered(target, at(od.sentMS), at(od.failedMS))
			}
			if tc.answer {
				tr.RecordAnswer(target)
			}
			sign := time.Time{}
			if tc.signMS >= 0 {
				sign = at(tc.signMS)
			}
			last := tc.orders[len(tc.orders)-1].failedMS
			ev, certain := tr.RecordFinding(target, tc.finding, sign, at(last+100))
			g.Expect(ev.Kind).To(Equal(tc.want))
			g.Expect(certain).To(Equal(tc.want != none))
			if certain {
				g.Expect(ev.Since).To(Equal(at(tc.orders[0].sentMS)))
				g.Expect(ev.FirstOrderAt).To(Equal(at(tc.orders[0].sentMS)))
				g.Expect(ev.Orders).To(Equal(len(tc.orders)))
			}
		})
	}
}

// TestPeerThatReachesTargetClearsSuspicion guards against orders that got lost on the path of this instance and count later, when the path
// works again and a single answer is lost.
func TestPeerThatReachesTargetClearsSuspicion(t *testing.T) {
	g := NewWithT(t)
	tr := targetloss.NewTracker()
	tr.RecordUnanswered(target, at(0), at(400))
	tr.RecordFinding(target, targetloss.FoundByPeer, time.Time{}, at(700))
	tr.RecordUnanswered(target, at(1000), at(1400))
	_, certain := tr.RecordFinding(target, targetloss.FoundConnected, time.Time{}, at(1500))
	g.Expect(certain).To(BeFalse())
}
