package facts

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
)

// newsBound is the time in which an instance that the store answers must know of a change there.
const newsBound = 3 * time.Second

// TestNewsWhileTheStoreAnswersNoFollower.
//
// Requests were sent to targets that had been leaving for more than three seconds. The store answered some of the instances and
// left the others without an answer, among them all three that follow it for the fleet. Who follows was decided by the list of
// members alone, and the others trusted what they had heard of targets for 8.3 seconds, without regard to how soon a leaving must
// be known. So for nine seconds nobody asked the store about targets although it would have answered. On the instances that sent
// the requests the proof of the configuration was young, since for that kind the others ask sooner:
//
//	msg="lost the store" kind=servers cause="watch: store unavailable: ... context deadline exceeded"   (each follower)
//	msg="request sent" list_age=3.671s proof_age=1.092s
//
// A configuration could come late in the same way, by up to 3.7 seconds and the time of its way through the fleet.
func TestNewsWhileTheStoreAnswersNoFollower(t *testing.T) {
	kinds := map[string]func(ma *machine) bool{
		kindTargets:       func(ma *machine) bool { return ma.rd.dr.TakesWork("target-2") && !ma.rd.dr.TakesWork("target-1") },
		kindConfiguration: func(ma *machine) bool { version, _ := ma.rd.inForce(); return version == 2 },
	}
	ways := map[string]func(ma *machine){
		"turned away": func(ma *machine) { ma.refused.Store(true) },
		"no answer":   func(ma *machine) { ma.unanswered.Store(true) },
	}
	for kind, knows := range kinds {
		for way, strike := range ways {
			// The last answer to a follower is older or younger when the change comes.
			for _, later := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second} {
				t.Run(fmt.Sprintf("%s %s, %v later", kind, way, later), func(t *testing.T) {
					t.Parallel()
					inFleet(t, func(g *WithT, fl *fleet) {
						for _, ma := range fl.machines[:followers] {
							strike(ma)
						}
						time.Sleep(later)
						fl.change(kind)
						time.Sleep(newsBound)
						for _, ma := range fl.machines[followers:] {
							g.Expect(knows(ma)).To(BeTrue(), ma.name)
						}
					})
				})
			}
		}
	}
}

// TestNewsOnceOthersFollow: as long as the store answers no follower, others follow it in their place, and a leaving is known at
// once, not only when what was heard is old. It was known 2 to 2.5 s late before others took their place.
func TestNewsOnceOthersFollow(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for _, ma := range fl.machines[:followers] {
			ma.unanswered.Store(true)
		}
		time.Sleep(newsBound)
		fl.calls()
		for version := int64(2); version < 12; version++ {
			fl.change(kindTargets)
			time.Sleep(newsPause + 4*tell)
			for _, ma := range fl.machines {
				known, _ := ma.rd.dr.ListPosition()
				g.Expect(known).To(Equal(position.Position{Revision: version}), ma.name)
			}
		}
		g.Expect(fl.otherCalls()).To(BeNumerically("<", 10*2*2*followers), "only those in their place ask")
		for _, ma := range fl.machines[:followers] {
			ma.unanswered.Store(false)
		}
		time.Sleep(2 * followerRetryMost)
		fl.calls()
		time.Sleep(10 * time.Second)
		g.Expect(fl.otherCalls()).To(BeZero(), "the usual followers are back")
	})
}
