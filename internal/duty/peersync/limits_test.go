package peersync

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/gossip"
	"github.com/silvermount/silvermount/internal/quarantine"
	"github.com/silvermount/silvermount/internal/ratelimit"
)

// TestNotesWithoutLimitsKeepPreviousFormat checks that notes without limits can be decoded by the previous build, which supports no
// other format.
func TestNotesWithoutLimitsKeepPreviousFormat(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	notes := quarantine.Snapshot{}.Encode(now)
	g.Expect(joinLimits(notes, nil, now)).To(Equal(notes))
	g.Expect(notes[0]).NotTo(BeEquivalentTo(limitsFormat))
	got, limits, err := unwrapNotes(limitsFormat, notes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(notes))
	g.Expect(limits).To(BeEmpty())
}

func TestRateLimitsReachPeers(t *testing.T) {
	g := NewWithT(t)
	du := newDuty()
	du.rateLimits = ratelimit.New(time.Now)
	du.lg = &log.Logger{Handler: discard.New()}
	now := time.Now()
	notes := quarantine.Snapshot{}.Encode(now)
	obs := []ratelimit.Observation{{Target: "a@1", Limit: ratelimit.PerSecond(1.5), At: now.Add(-time.Second)}}
	got, rateLimits, err := unwrapNotes(limitsFormat, joinLimits(notes, obs, now))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(notes))
	du.receiveLimits(gossip.Member{Name: "b"}, rateLimits, now)
	g.Expect(du.rateLimits.Limit("a@1")).To(Equal(ratelimit.PerSecond(1.5)))
	g.Expect(du.rateLimits.Limit("a@2").Limited).To(BeFalse(), "the limit does not apply to a later incarnation")
}

func TestUnwrapNotesRejectsTruncatedNotes(t *testing.T) {
	g := NewWithT(t)
	for _, b := range [][]byte{{limitsFormat}, {limitsFormat, 9}, {limitsFormat, 0xff}} {
		_, _, err := unwrapNotes(limitsFormat, b)
		g.Expect(err).To(HaveOccurred())
	}
}
