package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// smallFleet is a fleet whose instances exchange their snapshots at once.
type smallFleet struct {
	ck        *clock
	instances []*instance
	rd        *rand.Rand
	runs      int
}

func newSmallFleet(n int) *smallFleet {
	sf := &smallFleet{ck: newClock(), rd: rand.New(rand.NewPCG(1, 0))}
	for i := range n {
		sf.instances = append(sf.instances, newPeer(sf.ck, 18, fmt.Sprint("instance-", i), n-1))
	}
	return sf
}

// newRequest returns a request that is like no other but has the given parts.
func (sf *smallFleet) newRequest(parts ...string) fingerprint.Set {
	return setOf(append([]fingerprint.Fingerprint{request(fmt.Sprint("once-", sf.rd.Uint64()))}, traitsOf(parts...)...)...)
}

// send sends a request through an instance, whose target crashes or answers it 100 ms later. It reports whether the request ran.
func (sf *smallFleet) send(t *testing.T, i int, st fingerprint.Set, crashes bool) bool {
	t.Helper()
	in := sf.instances[i]
	notified := in.notifications
	dc := in.Tracker.Check(st)
	if in.notifications > notified {
		sf.exchange(t)
	}
	if dc.Quarantined || dc.Delay > 0 {
		return false
	}
	sf.runs++
	target := fmt.Sprint("target-", sf.runs)
	sf.ck.advance(100 * time.Millisecond)
	if crashes {
		in.RecordInterrupted(quarantine.InterruptedRun{
			Fingerprints: st.All(), Incarnation: target, Elapsed: 100 * time.Millisecond, Answering: true, At: sf.ck.now,
		})
		in.RecordCrash(target)
	} else {
		in.Tracker.RecordAnswered(st)
	}
	sf.exchange(t)
	sf.ck.advance(250 * time.Millisecond)
	return true
}

func (sf *smallFleet) exchange(t *testing.T) {
	t.Helper()
	for _, in := range sf.instances {
		for _, other := range sf.instances {
			if other != in {
				in.gossipTo(t, other)
			}
		}
	}
}

// TestFatalPartIsRunAtMostThreeTimesMore sends requests with a fatal part to all instances for a day.
func TestFatalPartIsRunAtMostThreeTimesMore(t *testing.T) {
	g := NewWithT(t)
	sf := newSmallFleet(8)
	crashes, late := 0, 0
	var fifth time.Time
	for end := sf.ck.now.Add(24 * time.Hour); sf.ck.now.Before(end); sf.ck.advance(3 * time.Second) {
		if !sf.send(t, sf.rd.IntN(8), sf.newRequest("first", "bad"), true) {
			continue
		}
		crashes++
		if crashes == 5 {
			fifth = sf.ck.now
		}
		if !fifth.IsZero() && sf.ck.now.Sub(fifth) > 2900*time.Millisecond {
			late++
		}
	}
	t.Logf("%d crashes, %d of them later than 2.9 s after the fifth", crashes, late)
	g.Expect(crashes).To(BeNumerically(">=", 3))
	g.Expect(late).To(BeNumerically("<=", 3))
}

// TestHarmlessPartIsReleasedByItsProbe quarantines a part that crashes nothing, which then comes at one instance only.
func TestHarmlessPartIsReleasedByItsProbe(t *testing.T) {
	g := NewWithT(t)
	sf := newSmallFleet(8)
	st := func() fingerprint.Set { return sf.newRequest("first", "harmless") }
	sf.ck.advance(time.Minute)
	for range 4 {
		sf.send(t, 0, st(), true)
	}
	g.Expect(sf.instances[3].Tracker.Check(st()).Quarantined).To(BeTrue())
	began := sf.ck.now
	for !sf.send(t, 5, st(), false) {
		sf.ck.advance(time.Second)
	}
	g.Expect(sf.ck.now.Sub(began)).To(BeNumerically(">=", firstQuarantine))
	g.Expect(sf.ck.now.Sub(began)).To(BeNumerically("<", 2*firstQuarantine))
	for _, in := range sf.instances {
		g.Expect(in.Tracker.Check(st())).To(Equal(quarantine.Decision{}))
	}
}

// TestInseparablePartsAreToldApart crashes targets under two parts that always come together, and then sends one of them alone.
func TestInseparablePartsAreToldApart(t *testing.T) {
	cases := map[string]struct {
		alone   string
		crashes bool
		// wantFatal and wantOther say which of the parts, alone, is refused afterwards.
		wantFatal, wantOther bool
	}{
		"the harmless one":                    {"other", false, true, false},
		"the fatal one":                       {"fatal", true, true, false},
		"the harmless one, by another caller": {"other", false, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sf := newSmallFleet(3)
			// All others share the first part, so that it is known to be harmless.
			sf.send(t, 0, sf.newRequest("first"), false)
			sf.ck.advance(time.Minute)
			for range 5 {
				sf.send(t, sf.rd.IntN(3), sf.newRequest("first", "fatal", "other"), true)
				sf.send(t, sf.rd.IntN(3), sf.newRequest("first"), false)
			}
			for _, in := range sf.instances {
				g.Expect(in.Tracker.Check(sf.newRequest("first", "fatal", "other")).Quarantined).To(BeTrue())
			}
			g.Expect(sf.instances[0].Quarantines()[0].Members).To(ConsistOf(fingerprint.OfPart("fatal"), fingerprint.OfPart("other")))
			g.Expect(sf.send(t, 1, sf.newRequest("first", tc.alone), tc.crashes)).To(BeTrue(), "a request with one of them is run")
			for i, in := range sf.instances {
				_, fatal := in.Refused(sf.newRequest("first", "fatal"))
				_, other := in.Refused(sf.newRequest("first", "other"))
				g.Expect(fatal).To(Equal(tc.wantFatal), "fatal part at instance %d", i)
				g.Expect(other).To(Equal(tc.wantOther), "other part at instance %d", i)
			}
		})
	}
}

// TestClearsOfACommonPartAreToldByFewInstances is run in a large fleet whose instances all see the same crashes and answers.
func TestClearsOfACommonPartAreToldByFewInstances(t *testing.T) {
	g := NewWithT(t)
	const instances = 985
	ck := newClock()
	told := 0
	for i := range instances {
		in := newPeer(ck, 999, fmt.Sprint("instance-", i), instances-1)
		for target := range 2 {
			in.MergePeer("peer", quarantine.Snapshot{Evidence: []quarantine.Evidence{{
				Fingerprint: fingerprint.OfPart("first"), Run: 1, Incarnation: fmt.Sprint("target-", target), Elapsed: shortRun, At: ck.now,
			}}})
		}
		in.Tracker.RecordAnswered(setOf(request("any"), fingerprint.OfPart("first")))
		told += len(in.Snapshot().Tombstones)
	}
	g.Expect(told).To(BeNumerically(">", 0))
	g.Expect(told).To(BeNumerically("<=", 24))
}

// BenchmarkRequestWithoutEvidence measures what looking at a request costs while nothing is suspected.
func BenchmarkRequestWithoutEvidence(b *testing.B) {
	for _, parts := range []int{4, 128} {
		b.Run(fmt.Sprint(parts, " parts"), func(b *testing.B) {
			in := newInstance(newClock(), 12)
			var ids []string
			for i := range parts {
				ids = append(ids, fmt.Sprint("part-", i))
			}
			rq := fingerprint.Request{Organisation: "red", Method: "POST", Host: "api", RequestURI: "/chat/1", Body: make([]byte, 1000)}
			for b.Loop() {
				st := fingerprint.SetOf(rq, ids)
				in.Tracker.HasEvidence(st)
				in.Tracker.RecordAnswered(st)
			}
		})
	}
}

// TestQuarantineWithAClearedMemberExplainsCrashes guards against an instance that quarantines a request again and again, because one of the
// members of its quarantine is no evidence here.
func TestQuarantineWithAClearedMemberExplainsCrashes(t *testing.T) {
	g := NewWithT(t)
	ck := newClock()
	a, b := newPeer(ck, 18, "a", 1), newPeer(ck, 18, "b", 1)
	ck.advance(time.Minute)
	org := fingerprint.OfOrganisation("red")
	for i := range 3 {
		a.RecordInterrupted(quarantine.InterruptedRun{
			Fingerprints: []fingerprint.Fingerprint{request("fatal"), org}, Incarnation: fmt.Sprint("target-", i), Elapsed: shortRun, At: ck.now,
		})
		a.RecordCrash(fmt.Sprint("target-", i))
	}
	ck.advance(afterSettleDelay)
	g.Expect(a.quarantined("fatal")).To(BeTrue())
	sn := a.Snapshot()
	g.Expect(sn.Quarantines[0].Members).To(ConsistOf(request("fatal"), org))
	// The evidence against the organisation does not reach the other instance.
	sn.Evidence = slices.DeleteFunc(sn.Evidence, func(ev quarantine.Evidence) bool { return ev.Fingerprint == org })
	b.MergePeer("a", sn)
	ck.advance(afterSettleDelay)
	g.Expect(b.quarantined("fatal")).To(BeTrue())
	g.Expect(b.Quarantines()[0].Level).To(Equal(1))
}

// TestOrganisationIsNotQuarantinedForItself guards against an organisation that is refused as a whole: because several fatal parts are in
// its prompts and none of the others is answered meanwhile, or because it is what is left of the quarantine of its path when an instance
// that knows of an answer to the path refutes that.
func TestOrganisationIsNotQuarantinedForItself(t *testing.T) {
	path := fingerprint.OfPath(fingerprint.Request{RequestURI: "/bad"})
	cases := map[string]struct {
		// answered is a request that the last instance answers before the crashes.
		answered []fingerprint.Fingerprint
		// crashing is the ith request that crashes its target, sent to one of the first senders instances in turn.
		crashing func(sf *smallFleet, i int) fingerprint.Set
		senders  int
	}{
		"several fatal parts": {
			crashing: func(sf *smallFleet, i int) fingerprint.Set { return sf.newRequest("first", fmt.Sprint("bad-", i%6)) }, senders: 3,
		},
		"a refuted path": {
			answered: []fingerprint.Fingerprint{request("sound"), path, fingerprint.OfOrganisation("blue")},
			crashing: func(_ *smallFleet, i int) fingerprint.Set {
				return setOf(request(fmt.Sprint("bad-", i)), path, fingerprint.OfOrganisation("red"))
			},
			senders: 2,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sf := newSmallFleet(3)
			sf.ck.advance(time.Minute)
			if tc.answered != nil {
				sf.instances[2].Tracker.RecordAnswered(setOf(tc.answered...))
				sf.ck.advance(5 * time.Second)
			}
			for i := range 12 {
				sf.send(t, i%tc.senders, tc.crashing(sf, i), true)
				other := setOf(request(fmt.Sprint("other-", i)), fingerprint.OfOrganisation("blue"), fingerprint.OfPart("second"))
				g.Expect(sf.send(t, i%3, other, false)).To(BeTrue())
			}
			sf.exchange(t)
			for _, in := range sf.instances {
				for _, qu := range in.Quarantines() {
					g.Expect(qu.ID().Kind).NotTo(BeElementOf(fingerprint.Organisation, fingerprint.Path))
				}
				_, refused := in.Refused(setOf(request("plain"), fingerprint.OfOrganisation("red")))
				g.Expect(refused).To(BeFalse())
			}
		})
	}
}

// TestPathIsQuarantinedForItself sends requests whose path is all that they have in common and that crash targets, beside others that are
// answered. It guards against a path that crashes targets without end, and against one that is refused for what some of its requests do.
func TestPathIsQuarantinedForItself(t *testing.T) {
	path := fingerprint.OfPath(fingerprint.Request{RequestURI: "/bad"})
	organisation := func(i int) fingerprint.Fingerprint {
		return fingerprint.OfOrganisation(fmt.Sprint("organisation-", i%4))
	}
	cases := map[string]struct {
		// requestName and parts are those of the ith request with the path.
		requestName func(i int) string
		parts       func(i int) []fingerprint.Fingerprint
		// answered is set if a request with the path was answered before the crashes.
		answered bool
		want     bool
	}{
		"different requests":   {requestName: func(i int) string { return fmt.Sprint("bad-", i) }, want: true},
		"two requests":         {requestName: func(i int) string { return fmt.Sprint("bad-", i%2) }},
		"answered just before": {requestName: func(i int) string { return fmt.Sprint("bad-", i) }, answered: true},
		"two parts of prompts": {
			requestName: func(i int) string { return fmt.Sprint("bad-", i) },
			parts: func(i int) []fingerprint.Fingerprint {
				return []fingerprint.Fingerprint{fingerprint.OfPart(fmt.Sprint("bad-", i%2))}
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sf := newSmallFleet(3)
			sf.ck.advance(time.Minute)
			if tc.answered {
				sf.send(t, 0, setOf(request("sound"), path, organisation(0)), false)
			}
			for i := range 10 {
				traits := []fingerprint.Fingerprint{request(tc.requestName(i)), path, organisation(i)}
				if tc.parts != nil {
					traits = append(traits, tc.parts(i)...)
				}
				sf.send(t, i%3, setOf(traits...), true)
				for in := range 3 {
					sf.send(t, in, sf.newRequest("first"), false)
				}
			}
			for i, in := range sf.instances {
				_, refused := in.Refused(setOf(request("another"), path, fingerprint.OfOrganisation("another")))
				g.Expect(refused).To(Equal(tc.want), "instance %d", i)
			}
		})
	}
}

// TestAnsweredPathWithAnOldTombstoneIsSound guards against the refusal of a path that was answered just before, because it was quarantined
// and cleared long ago. The instance has no peers, which would refute its quarantine at once.
func TestAnsweredPathWithAnOldTombstoneIsSound(t *testing.T) {
	g := NewWithT(t)
	sf := newSmallFleet(1)
	path := fingerprint.OfPath(fingerprint.Request{RequestURI: "/bad"})
	set := func(name string, i int) fingerprint.Set {
		return setOf(request(fmt.Sprint(name, i)), path, fingerprint.OfOrganisation(fmt.Sprint("organisation-", i%4)))
	}
	crash := func(name string) {
		for i := range 10 {
			sf.send(t, 0, set(name, i), true)
			for range 3 {
				sf.send(t, 0, sf.newRequest("first"), false)
			}
		}
	}
	refused := func(in *instance) bool {
		_, refused := in.Refused(set("another", 0))
		return refused
	}
	sf.ck.advance(time.Minute)
	crash("early")
	g.Expect(refused(sf.instances[0])).To(BeTrue())
	sf.instances[0].Tracker.RecordAnswered(set("sound", 0))
	sf.exchange(t)
	sf.ck.advance(11 * time.Minute)
	for i := range 30 {
		for _, in := range sf.instances {
			in.Tracker.RecordAnswered(set("sound", i))
		}
		sf.ck.advance(time.Second)
	}
	crash("late")
	for i, in := range sf.instances {
		g.Expect(refused(in)).To(BeFalse(), "instance %d", i)
	}
}
