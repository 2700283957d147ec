package permit_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/silvermount/silvermount/internal/permit"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// simZones is the number of availability zones.
	simZones = 3
	// simBeat is how often an instance hears of the others, and simLost the silence after which one counts as lost.
	simBeat = 250 * time.Millisecond
	simLost = 2 * time.Second
	// simWindow is the time in which arrivals are counted, and simKnownAfter the time after the first naming from which they are.
	simWindow     = 4 * time.Second
	simKnownAfter = 3 * time.Second
	// simNamedAt is when targets begin to name their limit, and simLiftedAt when they cease.
	simNamedAt  = 3 * time.Second
	simLiftedAt = 27 * time.Second
	simLength   = 37 * time.Second
	// simAnswer is how long a target takes.
	simAnswer = 30 * time.Millisecond
)

// way is how instances share a limit.
type way string

const (
	// wayPermits asks one issuer for each request.
	wayPermits way = "permits"
	// wayParts gives each instance an even part.
	wayParts way = "parts"
	// wayOwners gives four instances a quarter each, and none to the others.
	wayOwners way = "owners"
)

// owners is the number of instances that may send in wayOwners.
const owners = 4

// trouble is what happens to the fleet of a play.
type trouble struct {
	// kills, freezes and cuts each strike a drawn instance, at moments all over the play; a killed one starts again.
	kills, freezes, cuts int
	// zoneCut cuts a zone off from the others, with its targets.
	zoneCut bool
	// restartAll kills all instances at once.
	restartAll bool
	// large troubles strike the largest fleets in each run of the tests, the others only by hand.
	large bool
}

// simFleet is the instances and targets of a play.
type simFleet struct {
	way  way
	rd   *rand.Rand
	rdMu sync.Mutex
	// mu guards the instances.
	mu        sync.Mutex
	limit     float64
	limited   int
	targets   []*simTarget
	instances []*simInstance
	byName    map[string]*simInstance
	began     time.Time
	zoneCut   bool
	refused   int
	wg        sync.WaitGroup
}

// simTarget counts what arrives at one target.
type simTarget struct {
	targets.Target
	mu       sync.Mutex
	arrivals []simArrival
	named    time.Time
}

// simArrival is one request at a target.
type simArrival struct {
	at   time.Time
	from int
	// excused is set when its instance was disturbed shortly before.
	excused bool
}

// simInstance is one instance with its view of the others.
type simInstance struct {
	no   int
	name string
	zone string
	// mu is the fleet's, and guards all that follows.
	mu     *sync.Mutex
	up     bool
	frozen time.Time
	cut    bool
	// disturbed is the end of the newest trouble.
	disturbed time.Time
	// heard is when each other instance was last heard, by number.
	heard []time.Time
	// issuers are those that it asked lately, by target, as long as it believes the same instances live.
	issuers map[string]string
	// seen and known are whom it believes live, and how many it knew, as of its last beat.
	seen   []permit.Candidate
	known  int
	book   *ratelimit.Tracker
	issuer *permit.Issuer
	client *permit.Client
	delay  time.Duration
}

func (fl *simFleet) random() float64 {
	fl.rdMu.Lock()
	defer fl.rdMu.Unlock()
	return fl.rd.Float64()
}

func (fl *simFleet) draw(n int) int { return int(fl.random() * float64(n)) }

// start makes the process of an instance anew.
func (in *simInstance) start(fl *simFleet) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.up, in.disturbed = true, time.Now()
	in.heard, in.issuers = make([]time.Time, len(fl.instances)), map[string]string{}
	in.seen, in.known = []permit.Candidate{{Name: in.name, AvailabilityZone: in.zone}}, 1
	in.book = ratelimit.New(time.Now)
	in.issuer = permit.NewIssuer(time.Now)
	book := in.book
	in.client = permit.NewClient(time.Now, book.Limit, metrics.NewSet())
	in.client.SetAsk(func(ctx context.Context, rq permit.Request) (permit.Answer, error) { return fl.ask(ctx, in, rq) })
}

// reaches reports whether two instances hear each other.
func (fl *simFleet) reaches(a, b *simInstance) bool {
	if a.no == b.no {
		return true
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.reachesNow(a, b, time.Now())
}

// reachesNow is reaches with the lock held.
func (fl *simFleet) reachesNow(a, b *simInstance, now time.Time) bool {
	return a.talks(now) && b.talks(now) && !fl.apart(a.zone, b.zone)
}

// talks reports whether any other instance can reach this one. The lock is held.
func (in *simInstance) talks(now time.Time) bool { return in.up && !in.cut && !now.Before(in.frozen) }

// look renews whom an instance believes live, and how many it knew. The lock is held.
func (in *simInstance) look(fl *simFleet) {
	now := time.Now()
	known := 0
	var live []permit.Candidate
	for no, at := range in.heard {
		if at.IsZero() && no != in.no {
			continue
		}
		known++
		if no == in.no || now.Sub(at) < simLost {
			live = append(live, permit.Candidate{Name: fl.instances[no].name, AvailabilityZone: fl.instances[no].zone})
		}
	}
	if !slices.Equal(live, in.seen) {
		in.issuers = map[string]string{}
	}
	in.seen, in.known = live, known
}

// issuerOf returns the issuer of a target as an instance sees it.
func (in *simInstance) issuerOf(tg targets.Target) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	name, known := in.issuers[tg.ID]
	if !known {
		name = permit.Issues(in.seen, tg)
		in.issuers[tg.ID] = name
	}
	return name
}

// live returns whom an instance believes live, and how many it knew.
func (in *simInstance) live() (live []permit.Candidate, known int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.seen, in.known
}

// ask puts a question to the issuer of a target, over links that take time and may be cut.
func (fl *simFleet) ask(ctx context.Context, in *simInstance, rq permit.Request) (permit.Answer, error) {
	issuer := fl.byName[in.issuerOf(rq.Target)]
	if issuer.no != in.no {
		fl.travel()
		if !fl.reaches(in, issuer) {
			<-ctx.Done()
			return permit.Answer{}, ctx.Err()
		}
	}
	if issuer.issuerOf(rq.Target) != issuer.name {
		return permit.Answer{After: 100 * time.Millisecond}, nil
	}
	theirs, known := issuer.live()
	issuer.mu.Lock()
	is := issuer.issuer
	issuer.mu.Unlock()
	an := is.Issue(rq.Target.ID, rq.Limit, permit.Share(len(theirs), known), rq.Wait)
	if issuer.no != in.no {
		fl.travel()
	}
	return an, ctx.Err()
}

// travel takes as long as a message between two instances.
func (fl *simFleet) travel() { time.Sleep(time.Duration(500+fl.draw(2500)) * time.Microsecond) }

// take asks for leave to send a request to a target in the way of the play.
func (fl *simFleet) take(in *simInstance, tg *simTarget) bool {
	in.mu.Lock()
	cl, is, book := in.client, in.issuer, in.book
	in.mu.Unlock()
	li := book.Limit(tg.ID)
	if !li.Limited {
		return true
	}
	live, _ := in.live()
	switch fl.way {
	case wayParts:
		return is.Issue(tg.ID, li, 1/float64(len(live)), 0).Granted
	case wayOwners:
		return owns(live, in.name, tg) && is.Issue(tg.ID, li, 1/float64(min(owners, len(live))), 0).Granted
	default:
		return cl.Take(context.Background(), tg.Target, 0).Granted
	}
}

// owns reports whether an instance is among the first for a target.
func owns(live []permit.Candidate, name string, tg *simTarget) bool {
	left := slices.Clone(live)
	for range min(owners, len(left)) {
		first := permit.Issues(left, tg.Target)
		if first == name {
			return true
		}
		left = slices.DeleteFunc(left, func(ca permit.Candidate) bool { return ca.Name == first })
	}
	return false
}

// request finds a target for a request, targets in need first since they look idle, and sends it there.
func (fl *simFleet) request(in *simInstance) {
	in.awake()
	order := make([]*simTarget, 0, len(fl.targets))
	shift := fl.draw(max(1, fl.limited))
	for no := range fl.limited {
		order = append(order, fl.targets[(no+shift)%fl.limited])
	}
	if fl.limited < len(fl.targets) {
		order = append(order, fl.targets[fl.limited+fl.draw(len(fl.targets)-fl.limited)])
	}
	for _, tg := range order {
		in.mu.Lock()
		cl := in.client
		in.mu.Unlock()
		if _, closed := cl.Closed(tg.ID); closed || !fl.mayReach(in, tg) {
			continue
		}
		if fl.take(in, tg) {
			fl.send(in, tg)
			return
		}
	}
	fl.rdMu.Lock()
	defer fl.rdMu.Unlock()
	fl.refused++
}

// awake waits until an instance is not frozen.
func (in *simInstance) awake() {
	in.mu.Lock()
	wait := time.Until(in.frozen)
	in.mu.Unlock()
	time.Sleep(wait)
}

// mayReach reports whether a target can be reached.
func (fl *simFleet) mayReach(in *simInstance, tg *simTarget) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return !fl.apart(in.zone, tg.AvailabilityZone)
}

// apart reports whether a cut runs between two zones. The lock is held.
func (fl *simFleet) apart(a, b string) bool {
	const cutOff = "zone-0"
	return fl.zoneCut && a != b && (a == cutOff || b == cutOff)
}

// send sends a request and reads what its answer says.
func (fl *simFleet) send(in *simInstance, tg *simTarget) {
	in.awake()
	in.mu.Lock()
	up, book := in.up, in.book
	excused := in.cut || time.Since(in.disturbed) < simKnownAfter
	in.mu.Unlock()
	if !up {
		return
	}
	sent := time.Now()
	time.Sleep(time.Millisecond)
	tg.mu.Lock()
	tg.arrivals = append(tg.arrivals, simArrival{at: time.Now(), from: in.no, excused: excused})
	tg.mu.Unlock()
	time.Sleep(simAnswer)
	var li ratelimit.Limit
	if since := time.Since(fl.began); since >= simNamedAt && since < simLiftedAt && fl.limits(tg) {
		li = ratelimit.PerSecond(fl.limit)
		tg.mu.Lock()
		if tg.named.IsZero() {
			tg.named = time.Now()
		}
		tg.mu.Unlock()
	}
	time.Sleep(time.Millisecond)
	if _, changed := book.Observe(tg.ID, li, sent, time.Now()); changed {
		fl.tell(in)
	}
}

func (fl *simFleet) limits(tg *simTarget) bool {
	return slices.Index(fl.targets, tg) < fl.limited
}

// tell tells the others what an instance saw; each hears of it after the delay of its links.
func (fl *simFleet) tell(in *simInstance) {
	in.mu.Lock()
	told := in.book.LocalObservations()
	in.mu.Unlock()
	for _, other := range fl.instances {
		if other.no == in.no {
			continue
		}
		time.AfterFunc(in.delay+other.delay, func() {
			if !fl.reaches(in, other) {
				return
			}
			other.mu.Lock()
			book := other.book
			other.mu.Unlock()
			book.Merge(told)
		})
	}
}

// beat lets an instance hear of the others, and tells those that were not there before what it saw.
func (fl *simFleet) beat(in *simInstance) {
	in.mu.Lock()
	running, is := in.up && !time.Now().Before(in.frozen), in.issuer
	in.mu.Unlock()
	if !running {
		return
	}
	is.Beat()
	if fl.meet(in) {
		fl.tell(in)
	}
}

// meet lets an instance hear of those that it reaches, and reports whether one of them was not live for it before.
func (fl *simFleet) meet(in *simInstance) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := time.Now()
	met := false
	for _, other := range fl.instances {
		if other.no == in.no || !fl.reachesNow(in, other, now) {
			continue
		}
		met = met || now.Sub(in.heard[other.no]) >= simLost
		in.heard[other.no] = now
	}
	in.look(fl)
	return met
}

// disturb strikes drawn instances.
func (fl *simFleet) disturb(tr trouble) {
	at := func(act func(in *simInstance)) {
		in := fl.instances[fl.draw(len(fl.instances))]
		after := simNamedAt + time.Duration(fl.random()*float64(simLiftedAt-simNamedAt-3*time.Second))
		fl.wg.Go(func() {
			time.Sleep(after)
			act(in)
		})
	}
	// A third of a small fleet at the most is struck in each way.
	most := len(fl.instances) / 3
	for range min(tr.kills, most) {
		at(func(in *simInstance) { fl.kill(in) })
	}
	for range min(tr.freezes, most) {
		at(func(in *simInstance) { fl.freeze(in) })
	}
	for range min(tr.cuts, most) {
		at(func(in *simInstance) { fl.cutOff(in) })
	}
	if tr.zoneCut {
		fl.wg.Go(func() { fl.cutZone() })
	}
	if tr.restartAll {
		fl.wg.Go(func() {
			time.Sleep(15 * time.Second)
			for _, in := range fl.instances {
				fl.wg.Go(func() { fl.kill(in) })
			}
		})
	}
}

func (fl *simFleet) kill(in *simInstance) {
	in.mu.Lock()
	in.up = false
	in.mu.Unlock()
	time.Sleep(time.Second)
	in.start(fl)
}

func (fl *simFleet) freeze(in *simInstance) {
	length := time.Second + time.Duration(fl.random()*float64(4*time.Second))
	in.mu.Lock()
	in.frozen = time.Now().Add(length)
	in.disturbed = in.frozen
	in.mu.Unlock()
}

func (fl *simFleet) cutOff(in *simInstance) {
	in.mu.Lock()
	in.cut = true
	in.mu.Unlock()
	time.Sleep(time.Second + time.Duration(fl.random()*float64(5*time.Second)))
	in.mu.Lock()
	in.cut, in.disturbed = false, time.Now()
	in.mu.Unlock()
}

func (fl *simFleet) setZoneCut(cut bool) { fl.mu.Lock(); defer fl.mu.Unlock(); fl.zoneCut = cut }

func (fl *simFleet) cutZone() {
	time.Sleep(12 * time.Second)
	fl.setZoneCut(true)
	time.Sleep(6 * time.Second)
	fl.setZoneCut(false)
	for _, in := range fl.instances {
		if in.zone == "zone-0" {
			in.mu.Lock()
			in.disturbed = time.Now()
			in.mu.Unlock()
		}
	}
}
