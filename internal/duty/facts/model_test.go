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
	rl := &forwarding.StoreCoordinator{}
	began := time.Now()
	rl.SetRole(func() forwarding.Role {
		if time.Since(began) < tell {
			return forwarding.RoleJoining
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
		rts: &routes.Holder{}, dr: targets.New(time.Now), changed: &forwarding.Notifier{}, followers: rl, seeds: true, first: true,
		leavingBound: newsBound, configurationBound: newsBound,
		lg: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
	}
	ma.rd.reach = newReach(ma.rd.patience(), func(answered bool) { ma.storeless.Store(!answered) })
	return ma
}

// part takes the first live machines that the store answers for followers, and those that would be followers if it answered all; a
// cut machine sees nobody.
func (fl *fleet) part(i int) forwarding.Role {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.machines[i].cut.Load() {
		return forwarding.RoleStandalone
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
		return forwarding.RoleFollower
	case before < followers+standIns:
		return forwarding.RoleStandby
	default:
		return forwarding.RoleListener
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
	if mine, _ := to.rd.inForce(); to.rd.followers.NewestPeerVersion() <= mine {
		to.lacks = time.Now()
	}
	to.rd.followers.RecordPeerVersion(tb.Version())
	if time.Since(to.lacks) >= fetched {
		to.rd.rts.Offer(tb, []byte("{}"), provenAt)
	}
}

func hearTargets(to, from *machine) {
	at, heard := from.rd.dr.ChangedAt()
	mine, _ := to.rd.dr.ChangedAt()
	switch {
	case at.After(mine):
		if at.RestoredSince(mine) {
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
