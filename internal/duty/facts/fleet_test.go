package facts

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/duty/forwarding"
	"github.com/silvermount/silvermount/internal/follow"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// instances is the size of the fleet, of which some follow the store and the next are stand-ins, as in five
	// availability zones.
	instances = 40
	followers = 3
	standIns  = 7
	// travel is a call to the store, tell the time between two tellings of peers.
	travel = 10 * time.Millisecond
	tell   = 50 * time.Millisecond
	// noticed is how long peers take for live who is not.
	noticed = 2 * time.Second
	// fetched is when an instance has fetched from a peer what it was told of.
	fetched = 200 * time.Millisecond
	// proofBound is the age of a proof from which keys are refused.
	proofBound                     = 4400 * time.Millisecond
	kindConfiguration, kindTargets = "configurations", "targets"
)

// shared is a store that all instances ask. It holds one configuration, whose value is its version, and targets.
type shared struct {
	mu sync.Mutex
	// era counts the returns from an older copy.
	era     int64
	version map[string]int64
	down    bool
	calls   map[string]int
}

func (sh *shared) set(edit func()) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	edit()
}

// taken returns the calls of an instance since they were last taken.
func (sh *shared) taken(name string) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	n := sh.calls[name]
	sh.calls[name] = 0
	return n
}

func (sh *shared) list(kind string) objectstore.Listing {
	v := sh.version[kind]
	name := "main"
	if kind == kindTargets {
		name = "target-" + strconv.FormatInt(v, 10)
	}
	return objectstore.Listing{
		Era: sh.era, Version: v, Items: []objectstore.Object{{Name: name, Version: v, Value: json.RawMessage(strconv.FormatInt(v, 10))}},
	}
}

// machine is one instance.
type machine struct {
	name   string
	store  *shared
	rd     *reader
	dead   atomic.Bool
	diedAt time.Time
	// cut machines hear of nobody, not even the store; refused ones are turned away by the store, and unanswered ones get
	// no answer from it.
	cut, refused, unanswered atomic.Bool
	// storeless machines have told that the store does not answer them.
	storeless atomic.Bool
	// lacks is since when it knows of a newer configuration than it has.
	lacks time.Time
}

func (ma *machine) ask(sh *shared, kind string) (objectstore.Listing, error) {
	time.Sleep(travel)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.down || ma.refused.Load() {
		return objectstore.Listing{}, &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}}
	}
	return sh.list(kind), nil
}

func (ma *machine) called() {
	ma.store.set(func() { ma.store.calls[ma.name]++ })
}

func (ma *machine) list(ctx context.Context, kind string) (objectstore.Listing, error) {
	ma.called()
	if ma.silent() {
		return ma.noAnswer(ctx, 0)
	}
	if ctx.Err() != nil {
		return objectstore.Listing{}, ctx.Err()
	}
	return ma.ask(ma.store, kind)
}

// silent reports whether no call of this machine is answered.
func (ma *machine) silent() bool { return ma.cut.Load() || ma.unanswered.Load() }

// noAnswer fails as a call does that was to take a time and gets no answer.
func (ma *machine) noAnswer(ctx context.Context, after time.Duration) (objectstore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, after+storeSilence)
	defer cancel()
	<-ctx.Done()
	return objectstore.Listing{}, &objectstore.UnavailableError{Cause: ctx.Err()}
}

// storeSilence is how long a call waits for an answer that does not come.
const storeSilence = 1200 * time.Millisecond

func (ma *machine) watch(ctx context.Context, kind string, since position.Position, wait time.Duration) (objectstore.Listing, error) {
	ma.called()
	for over := time.Now().Add(wait); ; {
		l, err := ma.ask(ma.store, kind)
		if ma.silent() {
			return ma.noAnswer(ctx, time.Until(over))
		}
		if ctx.Err() != nil {
			return objectstore.Listing{}, ctx.Err()
		}
		if err == nil && since.Revision > l.Version {
			return objectstore.Listing{}, &objectstore.HistoryGoneError{Kind: kind}
		}
		if err != nil || l.Version > since.Revision {
			return withRemoved(l, kind, since.Revision), err
		}
		if !time.Now().Before(over) {
			return objectstore.Listing{Era: l.Era, Version: l.Version}, nil
		}
	}
}

// withRemoved adds the targets that went since a version, each of which another took the place of.
func withRemoved(l objectstore.Listing, kind string, since int64) objectstore.Listing {
	for v := since; kind == kindTargets && v < l.Version; v++ {
		l.Items = append(l.Items, objectstore.Object{Name: "target-" + strconv.FormatInt(v, 10), Version: v + 1})
	}
	return l
}

// fleet is a large fleet whose peers tell each other all that they know.
type fleet struct {
	// mu guards machines and fetched.
	mu       sync.Mutex
	store    *shared
	machines []*machine
	// fetched is when an instance has fetched from a peer what it was told of.
	fetched time.Duration
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	fl := &fleet{
		store:   &shared{version: map[string]int64{kindConfiguration: 1, kindTargets: 1}, calls: map[string]int{}},
		fetched: fetched,
	}
	for i := range instances {
		fl.machines = append(fl.machines, fl.machine(i))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	lg := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	for _, ma := range fl.machines {
		st := follow.Store{List: ma.list, Watch: ma.watch}
		wg.Go(func() { ma.rd.configuration(st, lg).Run(ctx) })
		wg.Go(func() { ma.rd.targets(st, lg).Run(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(tell)
			fl.tell()
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return fl
}

func (fl *fleet) machine(i int) *machine {
	ma := &machine{name: fmt.Sprintf("instance-%d", i), store: fl.store}
	rl := &forwarding.Followers{}
	began := time.Now()
	rl.Set(func() forwarding.Part {
		if time.Since(began) < tell {
			return forwarding.PartUnmet
		}
		return fl.part(i)
	})
	ma.rd = &reader{
		ad: adapter.Adapter{
			ConfigurationKind: kindConfiguration, ConfigurationName: "main", TargetKind: kindTargets,
			Configuration: func(value []byte) (routes.Content, error) {
				v, err := strconv.ParseInt(string(value), 10, 64)
				return routes.Content{Version: v}, err
			},
			Target: func(ob objectstore.Object) (targets.Target, error) { return targets.Target{ID: ob.Name}, nil },
		},
		rts: &routes.Holder{}, dr: targets.New(time.Now), changed: &forwarding.Changed{}, followers: rl, seeds: true, first: true,
		leavingBound: newsBound, configurationBound: newsBound,
		lg: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	}
	ma.rd.reach = newReach(ma.rd.patience(), func(answered bool) { ma.storeless.Store(!answered) })
	return ma
}

// part takes the first live machines that the store answers for followers, and those that would be followers if it answered all; a
// cut machine sees nobody.
func (fl *fleet) part(i int) forwarding.Part {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.machines[i].cut.Load() {
		return forwarding.PartAlone
	}
	before, usually := 0, 0
	for j, ma := range fl.machines {
		if ma.dead.Load() && time.Since(ma.diedAt) >= noticed {
			continue
		}
		if j < i {
			usually++
		}
		if mine := fl.machines[i].storeless.Load(); !ma.storeless.Load() && (mine || j < i) || ma.storeless.Load() && mine && j < i {
			before++
		}
	}
	switch {
	case before < followers, usually < followers:
		return forwarding.PartFollower
	case before < followers+standIns:
		return forwarding.PartStandIn
	default:
		return forwarding.PartListener
	}
}

// tell lets every machine hear what the others know.
func (fl *fleet) tell() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, to := range fl.machines {
		for _, from := range fl.machines {
			if from != to && from.there() && to.there() {
				hearConfiguration(to, from, fl.fetched)
				hearTargets(to, from)
			}
		}
	}
}

func (ma *machine) there() bool { return !ma.dead.Load() && !ma.cut.Load() }

func hearConfiguration(to, from *machine, fetched time.Duration) {
	tb, provenAt := from.rd.rts.Current()
	if tb == nil || to.rd.rts.Confirm(tb.Version(), provenAt) {
		return
	}
	if mine, _ := to.rd.inForce(); to.rd.followers.Newest() <= mine {
		to.lacks = time.Now()
	}
	to.rd.followers.Heard(tb.Version())
	if time.Since(to.lacks) >= fetched {
		to.rd.rts.Offer(tb, []byte("{}"), provenAt)
	}
}

func hearTargets(to, from *machine) {
	at, heard := from.rd.dr.ChangedAt()
	mine, _ := to.rd.dr.ChangedAt()
	switch {
	case at.After(mine):
		if at.Restored(mine) {
			to.rd.dr.Restored(at.Era, heard)
		}
		_, list := from.rd.dr.Listed()
		to.rd.dr.TakeTold(list, targets.Lapsed{}, at, heard)
	case at == mine && !at.IsZero():
		to.rd.dr.Confirm(heard)
	}
}

// kill ends machines.
func (fl *fleet) kill(dead ...*machine) {
	for _, ma := range dead {
		ma.diedAt = time.Now()
		ma.dead.Store(true)
		// Its calls lead nowhere and are not counted below.
		ma.refused.Store(true)
	}
}

// calls returns the calls of all machines since they were last taken.
func (fl *fleet) calls() int {
	n := 0
	for _, ma := range fl.machines {
		n += fl.store.taken(ma.name)
	}
	return n
}

// otherCalls returns the calls of those that do not follow the store at first.
func (fl *fleet) otherCalls() int {
	n := 0
	for _, ma := range fl.machines[followers:] {
		n += fl.store.taken(ma.name)
	}
	return n
}

// oldest returns the greatest age of a proof of the configuration among live machines that are not cut.
func (fl *fleet) oldest() time.Duration {
	var age time.Duration
	for _, ma := range fl.machines {
		if ma.there() {
			_, provenAt := ma.rd.rts.Current()
			age = max(age, time.Since(provenAt))
		}
	}
	return age
}

// watchOldest returns the greatest age of a proof that is seen while a time goes by.
func (fl *fleet) watchOldest(d time.Duration) time.Duration {
	var age time.Duration
	for over := time.Now().Add(d); time.Now().Before(over); {
		time.Sleep(tell)
		age = max(age, fl.oldest())
	}
	return age
}

// inForce reports whether all live machines that are not cut have a version.
func (fl *fleet) inForce(version int64) bool {
	for _, ma := range fl.machines {
		if tb, _ := ma.rd.rts.Current(); ma.there() && (tb == nil || tb.Version() != version) {
			return false
		}
	}
	return true
}

func (fl *fleet) change(kind string) {
	fl.store.set(func() { fl.store.version[kind]++ })
}

// inFleet runs a test with a fleet that has settled, on a fake clock.
func inFleet(t *testing.T, run func(g *WithT, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t)
		time.Sleep(20 * time.Second)
		fl.calls()
		run(NewWithT(t), fl)
	})
}

func TestStartOfAFleetCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fl := newFleet(t)
		time.Sleep(2 * time.Second)
		g.Expect(fl.inForce(1)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeZero(), "peers tell them")
	})
}

func TestQuietFleet(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		g.Expect(fl.watchOldest(time.Minute)).To(BeNumerically("<", newsBound/2+2*tell))
		g.Expect(fl.otherCalls()).To(BeZero())
		// A silent watch of each kind every 0.75 s.
		g.Expect(fl.calls()).To(BeNumerically("~", followers*2*60/0.75, 14))
	})
}

func TestConfigurationsOneAfterAnother(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		const versions = 60
		for range versions {
			fl.change(kindConfiguration)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(fl.inForce(versions + 1)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeZero(), "peers tell them")
		g.Expect(fl.calls()).To(BeNumerically("<", 35*followers), "calls do not follow each version")
	})
}

func TestTargetsOneAfterAnother(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for range 60 {
			fl.change(kindTargets)
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(fl.otherCalls()).To(BeZero())
		g.Expect(fl.calls()).To(BeNumerically("<", followers*35))
		time.Sleep(time.Second)
		for _, ma := range fl.machines {
			at, _ := ma.rd.dr.ChangedAt()
			g.Expect(at).To(Equal(position.Position{Revision: 61}), ma.name)
		}
	})
}

func TestFollowersThatDieAtOnce(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.kill(fl.machines[:followers]...)
		fl.change(kindConfiguration)
		g.Expect(fl.watchOldest(10 * time.Second)).To(BeNumerically("<", proofBound))
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeNumerically("<", 6*instances))
	})
}

func TestFollowersThatAreCutOff(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for _, ma := range fl.machines[:followers] {
			ma.cut.Store(true)
		}
		g.Expect(fl.watchOldest(10 * time.Second)).To(BeNumerically("<", proofBound))
	})
}

func TestFollowersThatTheStoreTurnsAway(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		for _, ma := range fl.machines[:followers-1] {
			ma.refused.Store(true)
		}
		g.Expect(fl.watchOldest(30*time.Second)).To(BeNumerically("<", newsBound/2+2*tell), "one follower tells all")
		// Three that are answered follow, as in a quiet fleet, and the two that are not ask every two seconds.
		g.Expect(fl.calls()).To(BeNumerically("<", followers*2*30/0.75+2*2*30/2+30))
	})
}

// TestConfigurationThatNoPeerHandsOut: the store is asked by those to whom peers tell of a version and do not give it.
func TestConfigurationThatNoPeerHandsOut(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.mu.Lock()
		fl.fetched = time.Hour
		fl.mu.Unlock()
		fl.change(kindConfiguration)
		time.Sleep(2200 * time.Millisecond)
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(fl.otherCalls()).To(BeNumerically("<=", 2*(instances-followers)))
	})
}

// TestVersionsOneAfterAnotherThatNoPeerHandsOut: a storm of versions does not put off that the store is asked.
//
// Symptom: instances know for seconds that they lack a newer configuration, and neither fetch it nor ask the store. Sequence:
// peers tell of a version that they do not hand out in time, and of the next one within a second, again and again. Cause: the
// time for which a configuration is lacking began anew with each version that peers told of.
func TestVersionsOneAfterAnotherThatNoPeerHandsOut(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		const every, versions = 400 * time.Millisecond, 50
		fl.mu.Lock()
		fl.fetched = time.Hour
		fl.mu.Unlock()
		began := time.Now()
		for range versions {
			fl.change(kindConfiguration)
			time.Sleep(every)
			g.Expect(fl.behind(began, every)).To(BeNumerically("<", storm))
		}
	})
}

// storm bounds the age of the first version that an instance lacks while versions come one after another: a follower's pause,
// newsTime, an instance's own pause after the answer before, and a second for the calls. Changes must be in force after 4 s.
const storm = newsPause + newsTime + listenerPause + time.Second

// behind returns the greatest time since the store took the first version that an instance lacks, where the store took version 2
// at a time and one more each time that an interval had gone by.
func (fl *fleet) behind(began time.Time, every time.Duration) time.Duration {
	var most time.Duration
	for _, ma := range fl.machines {
		version, _ := ma.rd.inForce()
		most = max(most, time.Since(began)-time.Duration(version-1)*every)
	}
	return most
}

// TestRestartOfOneAmongPeers: who starts again asks the store at once, for callers come already, and then no more.
func TestRestartOfOneAmongPeers(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		ma := fl.machine(instances - 1)
		ma.name, ma.rd.first = "restarted", false
		lg := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		st := follow.Store{List: ma.list, Watch: ma.watch}
		wg.Go(func() { ma.rd.configuration(st, lg).Run(ctx) })
		wg.Go(func() { ma.rd.targets(st, lg).Run(ctx) })
		fl.mu.Lock()
		fl.machines = append(fl.machines, ma)
		fl.mu.Unlock()
		time.Sleep(2 * travel)
		tb, _ := ma.rd.rts.Current()
		g.Expect(tb).NotTo(BeNil())
		g.Expect(ma.rd.dr.TakesWork("target-1")).To(BeTrue())
		time.Sleep(time.Minute)
		g.Expect(fl.store.taken("restarted")).To(Equal(2), "one list of each kind")
	})
}

func TestStoreThatIsDown(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.store.set(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		g.Expect(fl.otherCalls()).To(BeNumerically("<", 6*instances))
		fl.store.set(func() { fl.store.down = false })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(fl.oldest()).To(BeNumerically("<", 1600*time.Millisecond), "all have fresh proof again")
	})
}

func TestConfigurationThatChangedWhileTheStoreWasDown(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		fl.store.set(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		fl.change(kindConfiguration)
		fl.store.set(func() { fl.store.down = false })
		time.Sleep(2500 * time.Millisecond)
		g.Expect(fl.inForce(2)).To(BeTrue())
	})
}

// TestListenerThatTheStoreTurnsAwayBelievesPeers: what peers tell of targets is as sure as before, although the store turns
// this instance away when it asks for a newer configuration.
func TestListenerThatTheStoreTurnsAwayBelievesPeers(t *testing.T) {
	inFleet(t, func(g *WithT, fl *fleet) {
		away := fl.machines[instances-1]
		away.refused.Store(true)
		fl.change(kindConfiguration)
		time.Sleep(3 * time.Second)
		g.Expect(fl.inForce(2)).To(BeTrue())
		g.Expect(away.rd.dr.TakesWork("target-1")).To(BeTrue())
		fl.change(kindTargets)
		time.Sleep(time.Second)
		g.Expect(away.rd.dr.TakesWork("target-2")).To(BeTrue())
		g.Expect(away.rd.dr.TakesWork("target-1")).To(BeFalse(), "it is gone, not lapsed in trouble of the store")
	})
}
