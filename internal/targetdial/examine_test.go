package targetdial_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/pathstate"
	"github.com/silvermount/silvermount/internal/targetloss"
)

// TestExamine guards against a target that is taken for lost because this instance alone does not reach it or the process was paused.
func TestExamine(t *testing.T) {
	tests := map[string]struct {
		direct, peers string
		want          targetloss.Finding
	}{
		"direct works":                          {works, blames, targetloss.FoundConnected},
		"hangs, a peer connects":                {hangs, works, targetloss.FoundByPeer},
		"refused, a peer connects":              {refuses, works, targetloss.FoundByPeer},
		"hangs, peers do not reach it either":   {hangs, blames, targetloss.FoundUnreachable},
		"refused, peers do not reach it either": {refuses, blames, targetloss.FoundUnreachable},
		"refused here and at peers":             {refuses, refuses, targetloss.FoundRefused},
		"hangs, peers are refused":              {hangs, refuses, targetloss.FoundUnreachable},
		"refused, peers cannot tell":            {refuses, doubts, targetloss.FoundNothing},
		"hangs, no peer":                        {hangs, "", targetloss.FoundAlone},
		"refused, no peer":                      {refuses, "", targetloss.FoundRefusedAlone},
		"paused, peers do not reach it either":  {paused, blames, targetloss.FoundNothing},
		"paused, a peer connects":               {paused, works, targetloss.FoundByPeer},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nw := newNetwork(t, tc.direct, tc.peers)
			tr := pathstate.New(time.Now)
			nw.g.Expect(nw.dialer(tr).Examine(context.Background(), "a")).To(Equal(tc.want))
			nw.g.Expect(tr.LostCount() > 0).To(Equal(tc.want == targetloss.FoundByPeer && tc.direct != paused))
		})
	}
}

// TestExamineIsNotLimitedBySearches guards against a lost target that is not examined because the budget of searches is used up.
func TestExamineIsNotLimitedBySearches(t *testing.T) {
	nw := newNetwork(t, refuses, refuses)
	dl := nw.dialer(pathstate.New(time.Now))
	for range 30 {
		nw.g.Expect(dl.Examine(context.Background(), "a")).To(Equal(targetloss.FoundRefused))
	}
}
