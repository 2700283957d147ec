package peersync

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/evacuation"
	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

// newNotesDuty returns a duty that knows of no evacuation and no rate limit.
func newNotesDuty() *duty {
	du := newDuty()
	du.evacuations, du.rateLimits = evacuation.New(time.Now), ratelimit.New(time.Now)
	du.tr = quarantine.New(quarantine.Options{
		Now: time.Now, TargetCount: func() int { return 1 }, Crashed: func(string) bool { return false }, NotifyPeers: func() {},
		Metrics: metrics.NewSet(), Log: &log.Logger{Handler: discard.New()},
	})
	du.lg = &log.Logger{Handler: discard.New()}
	return du
}

// TestNotesReachPeers sends notes of each combination to a peer.
func TestNotesReachPeers(t *testing.T) {
	tests := map[string]struct{ limited, evacuated bool }{
		"nothing":              {},
		"rate limits":          {limited: true},
		"evacuations":          {evacuated: true},
		"limits and evacuated": {limited: true, evacuated: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			from, to := newNotesDuty(), newNotesDuty()
			now := time.Now()
			if tc.limited {
				from.rateLimits.Observe("a@1", ratelimit.PerSecond(2), now, now)
			}
			if tc.evacuated {
				from.evacuations.ApplyList([]string{"z"}, position.Position{Revision: 4})
			}
			notes := from.encodeNotes()
			if !tc.limited && !tc.evacuated {
				g.Expect(notes[0]).NotTo(Or(BeEquivalentTo(limitsFormat), BeEquivalentTo(evacuationsFormat)), "a previous build supports no other format")
			}
			to.receiveNotes(gossip.Member{Name: "b"}, notes, now)
			g.Expect(to.rateLimits.Limit("a@1").Limited).To(Equal(tc.limited))
			g.Expect(to.evacuations.Evacuated().Has("z")).To(Equal(tc.evacuated))
		})
	}
}
