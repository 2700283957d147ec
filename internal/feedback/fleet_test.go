package feedback_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// leavingBound is the time after an instance passed on that a target leaves from which its callers' requests must not go there.
	leavingBound = 2 * time.Second
	// underWay is the time after a target turned an instance away in which requests may still come, and mostInBackOff how many may after it.
	underWay      = 500 * time.Millisecond
	mostInBackOff = 2
	// inUseAfter is the time after targets cease to speak of themselves from which they must be in use.
	inUseAfter = 5 * time.Second
)

// fleetPlay is one fleet, and what its targets say.
type fleetPlay struct {
	instances, targets int
	// leave and away are how many targets say that they leave, and turn requests away.
	leave, away int
	// perSecond is how many requests come to all instances.
	perSecond int
	trouble
}

// calm is a play in which only targets speak.
func calm(instances, count, perSecond int) fleetPlay {
	return fleetPlay{instances: instances, targets: count, leave: count / 6, away: count / 4, perSecond: perSecond}
}

func (fp fleetPlay) with(tr trouble) fleetPlay {
	fp.trouble = tr
	return fp
}

// all makes all targets turn requests away.
func (fp fleetPlay) all() fleetPlay {
	fp.leave, fp.away = 0, fp.targets
	return fp
}

// TestFleetHeedsWhatTargetsSay checks each exchange of fleets whose store lists all targets as ready.
func TestFleetHeedsWhatTargetsSay(t *testing.T) {
	everything := trouble{kills: 4, freezes: 4, cuts: 4, storeAway: true}
	plays := map[string]fleetPlay{
		"6":                         calm(6, 12, 150),
		"6, the store is away":      calm(6, 12, 150).with(trouble{storeAway: true}),
		"6, kills, freezes, cuts":   calm(6, 12, 150).with(everything),
		"6, all turn away":          calm(6, 12, 150).all(),
		"72":                        calm(72, 60, 300),
		"72, kills, freezes, cuts":  calm(72, 60, 300).with(everything),
		"72, all turn away":         calm(72, 60, 100).all(),
		"295, kills, freezes, cuts": calm(295, 120, 600).with(everything),
	}
	for name, fp := range plays {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fp.play(t, 1) })
		})
	}
}

// play runs the fleet to its end and checks it.
func (fp fleetPlay) play(t *testing.T, seed uint64) {
	fl := &simFleet{rd: rand.New(rand.NewPCG(seed, 11)), began: time.Now()}
	for no := range fp.targets {
		fl.targets = append(fl.targets, &simTarget{Target: targets.Target{
			ID: "t" + strconv.Itoa(no) + "@0", Name: "t" + strconv.Itoa(no), StartedAt: time.Unix(1, 0), Service: "s",
			Address: strconv.Itoa(no), AvailabilityZone: "z", Slots: simSlots,
		}})
	}
	for no := range fp.instances {
		fl.instances = append(fl.instances, &simInstance{no: no})
	}
	for _, in := range fl.instances {
		fl.start(in)
	}
	fl.wg.Go(fl.followStore)
	fp.strike(fl)
	fl.wg.Go(func() { fp.speak(fl) })
	for no := range int(simLength.Seconds()) * fp.perSecond {
		time.Sleep(time.Second / time.Duration(fp.perSecond))
		fl.wg.Go(func() { fl.call(fl.instances[int(fl.float()*float64(fp.instances))], no) })
	}
	fl.wg.Wait()
	fp.check(t, fl)
}

// speak lets targets speak of themselves for a while. Those that left are replaced.
func (fp fleetPlay) speak(fl *simFleet) {
	time.Sleep(simWordAt)
	fl.mu.Lock()
	fl.storeAway = fp.storeAway
	fl.mu.Unlock()
	for no, tg := range fl.targets[:fp.leave+fp.away] {
		if no < fp.leave {
			tg.say(true, 0)
		} else {
			tg.say(false, 1200*time.Millisecond+fl.within(2*time.Second))
		}
	}
	time.Sleep(simOverAt - simWordAt)
	fl.mu.Lock()
	fl.storeAway = false
	fl.mu.Unlock()
	for no, tg := range fl.targets[:fp.leave+fp.away] {
		if no < fp.leave {
			tg.replace()
		} else {
			tg.say(false, 0)
		}
	}
}

// strike spreads the troubles of the play over its time.
func (fp fleetPlay) strike(fl *simFleet) {
	one := func() *simInstance { return fl.instances[int(fl.float()*float64(fp.instances))] }
	at := func(blow func(in *simInstance)) {
		fl.wg.Go(func() {
			time.Sleep(fl.within(simLength - inUseAfter))
			blow(one())
		})
	}
	for range fp.kills {
		at(func(in *simInstance) {
			fl.mu.Lock()
			in.up = false
			for _, peer := range fl.instances {
				peer.dispatcher.SetPeerLoads(strconv.Itoa(in.no), nil)
			}
			fl.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			fl.start(in)
		})
	}
	for range fp.freezes {
		at(func(in *simInstance) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			in.frozen = time.Now().Add(2500 * time.Millisecond)
			in.disturbed = in.frozen
		})
	}
	for range fp.cuts {
		at(func(in *simInstance) {
			fl.mu.Lock()
			in.cut = true
			fl.mu.Unlock()
			time.Sleep(3 * time.Second)
			fl.mu.Lock()
			in.cut = false
			life, be := in.life, in.beliefs
			fl.mu.Unlock()
			fl.hint(in, life, be)
		})
	}
}

// excused reports whether an instance was started anew or frozen since a time.
func (fl *simFleet) excused(from simLife, since time.Time) bool {
	in := fl.instances[from.instance]
	return in.life != from.life || in.disturbed.After(since)
}

// check looks at each exchange and at each call.
func (fp fleetPlay) check(t *testing.T, fl *simFleet) {
	g := NewWithT(t)
	worst, exchanges, inUse := 0, 0, 0
	for _, tg := range fl.targets {
		exchanges += len(tg.all)
		g.Expect(tg.sentAfterWord(fl)).To(BeZero(), "requests to %s after it said that it leaves", tg.Name)
		worst = max(worst, tg.worstBackOff(fl))
		if tg.usedAfter(fl.began.Add(simOverAt + inUseAfter)) {
			inUse++
		}
		for _, in := range fl.instances {
			g.Expect(in.opens(tg.ID)).To(BeTrue(), "instance %d keeps %s closed", in.no, tg.Name)
		}
	}
	// Some may get none in a short time by chance.
	g.Expect(inUse).To(BeNumerically(">=", 9*fp.targets/10), "targets in use again")
	g.Expect(worst).To(BeNumerically("<=", mostInBackOff), "requests in one back-off")
	served, unserved, unlucky := 0, 0, 0
	for _, ca := range fl.calls {
		switch {
		case ca.served:
			served++
		case ca.dropped || fl.excused(ca.from, ca.sent):
		default:
			unserved++
			if ca.metUnknown() {
				unlucky++
			}
		}
	}
	t.Logf("%d exchanges, %d served, %d not, %d of them turned away where that was not known, at most %d in one back-off", exchanges, served, unserved, unlucky, worst)
	if fp.leave+fp.away < fp.targets {
		g.Expect(unserved-unlucky).To(BeZero(), "callers not served while others have room")
		g.Expect(float64(unserved)).To(BeNumerically("<=", 0.01*float64(served)))
	}
}

// usedAfter reports whether a request came to the target after a time.
func (tg *simTarget) usedAfter(at time.Time) bool {
	return len(tg.all) > 0 && tg.all[len(tg.all)-1].came.After(at)
}

// opens reports whether an instance may send requests to a target, and sees no load there that a back-off left behind.
func (in *simInstance) opens(id string) bool {
	ph, _ := in.recorder.BackOffs.Phase(id)
	_, loaded := in.dispatcher.OwnLoads()[id]
	return ph != backoff.Blocked && !loaded
}

// metUnknown reports whether a call was turned away at last by a target that had not turned its instance away before.
func (ca *simCall) metUnknown() bool {
	return len(ca.met) > 0 && !ca.met[len(ca.met)-1].known
}

// sentAfterWord counts requests sent later than the bound after their instance had passed on that the incarnation leaves.
func (tg *simTarget) sentAfterWord(fl *simFleet) int {
	told := map[simLife]time.Time{}
	late := 0
	for _, ex := range tg.all {
		at, is := told[ex.from]
		if is && ex.sent.Sub(at) > leavingBound && ex.incarnation != "" && tg.saidBy(ex) && !fl.excused(ex.from, at) {
			late++
		}
		if ex.leaving && !ex.passed.IsZero() && !is {
			told[ex.from] = ex.passed
		}
	}
	return late
}

// saidBy reports whether the incarnation of an exchange is one that leaves.
func (tg *simTarget) saidBy(ex simExchange) bool {
	for _, other := range tg.all {
		if other.leaving && other.incarnation == ex.incarnation {
			return true
		}
	}
	return false
}

// worstBackOff returns the most requests of one instance in one back-off, but for those under way at its beginning.
func (tg *simTarget) worstBackOff(fl *simFleet) int {
	worst := 0
	for no, ex := range tg.all {
		if ex.backOff == 0 || ex.answered.IsZero() {
			continue
		}
		n := 0
		for _, later := range tg.all[no:] {
			in := later.came.After(ex.answered.Add(underWay)) && later.came.Before(ex.answered.Add(ex.backOff))
			if in && later.from == ex.from && !fl.excused(ex.from, ex.answered) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}
