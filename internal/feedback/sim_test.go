package feedback_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/silvermount/silvermount/internal/answer"
	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// simWordAt is when targets begin to speak of themselves, simOverAt when they cease, simLength the end of a play.
	simWordAt = 2 * time.Second
	simOverAt = 9 * time.Second
	simLength = 16 * time.Second
	// simListed is how often the store is asked for its list.
	simListed = time.Second
	// simObjective and simDeadline are those of every request, simAttempts the targets that it may be sent to.
	simObjective = 500 * time.Millisecond
	simDeadline  = 4 * time.Second
	simAttempts  = 2
	// simWork is how long a target takes, simTravel one way to it, simTold the longest time until a peer hears.
	simWork   = 30 * time.Millisecond
	simTravel = time.Millisecond
	simTold   = 50 * time.Millisecond
	// simSlots is large enough for the load on the targets that are left.
	simSlots = 8
)

// trouble is what happens to the fleet of a play beside the words of targets.
type trouble struct {
	// kills, freezes and cuts each strike so many instances, at moments all over the play. A killed one starts again, one that is cut off
	// reaches neither the store nor its peers.
	kills, freezes, cuts int
	// storeAway keeps the store silent from before the first word to the end.
	storeAway bool
}

// simTarget is one target with the exchanges of its present incarnation.
type simTarget struct {
	mu sync.Mutex
	targets.Target
	leaving bool
	backOff time.Duration
	all     []simExchange
}

// simExchange is one request at a target.
type simExchange struct {
	incarnation string
	from        simLife
	// sent is when the caller sent the request, came when it reached the target, answered when the target answered, and passed when the
	// instance passed that on; zero when it never did.
	sent, came, answered, passed time.Time
	leaving                      bool
	backOff                      time.Duration
}

// simLife is one life of an instance's process.
type simLife struct{ instance, life int }

// simInstance is one instance; all but its number is guarded by the fleet.
type simInstance struct {
	no, life int
	up       bool
	// frozen is until when its process stands still.
	frozen time.Time
	cut    bool
	// disturbed is when its process last started, or woke.
	disturbed time.Time
	// hinting is set while peers are about to be told of loads.
	hinting bool
	beliefs
}

// beliefs are the parts of one life of an instance.
type beliefs struct {
	directory  *targets.Directory
	recorder   *feedback.Recorder
	dispatcher *dispatch.Dispatcher
}

// simCall is one request of a caller.
type simCall struct {
	from   simLife
	sent   time.Time
	served bool
	// dropped is set when its instance ended under it.
	dropped bool
	// met holds the exchanges that turned it away.
	met []metRefusal
}

// metRefusal is one refusal, and whether the instance had been turned away by the same target before.
type metRefusal struct{ known bool }

// simFleet is the instances and targets of a play.
type simFleet struct {
	rdMu sync.Mutex
	rd   *rand.Rand

	mu        sync.Mutex
	instances []*simInstance
	calls     []*simCall
	revision  int64
	storeAway bool

	targets []*simTarget
	began   time.Time
	wg      sync.WaitGroup
}

func (fl *simFleet) float() float64 {
	fl.rdMu.Lock()
	defer fl.rdMu.Unlock()
	return fl.rd.Float64()
}

func (fl *simFleet) within(d time.Duration) time.Duration {
	return time.Duration(fl.float() * float64(d))
}

// newBeliefs returns what an instance that starts believes.
func (fl *simFleet) newBeliefs(in *simInstance) beliefs {
	lg := &log.Logger{Handler: discard.New()}
	dr := targets.New(time.Now)
	bk := backoff.New(time.Now, fl.float)
	life := in.life
	rc := feedback.New(feedback.Deps{
		Targets: dr, RateLimits: ratelimit.New(time.Now), BackOffs: bk, Log: lg, Now: time.Now,
		OnLeavingChange: func() { fl.tell(in, life, dr) }, OnRateLimitChange: func() {},
	})
	ds := dispatch.New(dr, nil, dispatch.Options{Instance: strconv.Itoa(in.no), AvailabilityZone: "z", Now: time.Now, BackOffs: bk})
	return beliefs{directory: dr, recorder: rc, dispatcher: ds}
}

// tell tells the peers which targets leave.
func (fl *simFleet) tell(in *simInstance, life int, dr *targets.Directory) {
	leaving := dr.LeavingIDs()
	fl.mu.Lock()
	peers := append([]*simInstance{}, fl.instances...)
	fl.mu.Unlock()
	for _, peer := range peers {
		fl.wg.Go(func() {
			time.Sleep(fl.within(simTold))
			fl.mu.Lock()
			heard := in.up && in.life == life && !in.cut && peer.up && !peer.cut
			at := peer.directory
			fl.mu.Unlock()
			for _, id := range leaving {
				if heard {
					at.MarkLeaving(id)
				}
			}
		})
	}
}

// hint tells the peers the load that an instance sees at targets that turned it away, as an instance tells all its loads.
func (fl *simFleet) hint(in *simInstance, life int, be beliefs) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if in.hinting || in.life != life {
		return
	}
	in.hinting = true
	fl.wg.Go(func() {
		time.Sleep(fl.within(simTold))
		loads := map[string]placement.Load{}
		for id, lo := range be.dispatcher.OwnLoads() {
			if _, backedOff := be.recorder.BackOffs.Until(id); backedOff {
				loads[id] = lo
			}
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		in.hinting = false
		for _, peer := range fl.instances {
			if peer != in && in.up && in.life == life && !in.cut && peer.up && !peer.cut {
				peer.dispatcher.SetPeerLoads(strconv.Itoa(in.no), loads)
			}
		}
	})
}

// start begins a life of an instance with the list of the store.
func (fl *simFleet) start(in *simInstance) {
	list := fl.list()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	in.life++
	in.up, in.disturbed, in.frozen = true, time.Now(), time.Time{}
	in.beliefs = fl.newBeliefs(in)
	// A process that starts while the store is away gets the list of a peer.
	in.directory.ApplyList(list, nil, position.Position{Revision: fl.revision}, time.Now())
}

// list returns the store's list, which says of all targets that they are ready.
func (fl *simFleet) list() []targets.Target {
	var list []targets.Target
	for _, tg := range fl.targets {
		tg.mu.Lock()
		list = append(list, tg.Target)
		tg.mu.Unlock()
	}
	return list
}

// followStore gives each instance that reaches the store its newest list, now and then with an entry missing.
func (fl *simFleet) followStore() {
	for time.Since(fl.began) < simLength {
		time.Sleep(simListed)
		list := fl.list()
		if missing := fl.float() < 0.3; missing && time.Since(fl.began) < simOverAt {
			list = list[1:]
		}
		fl.mu.Lock()
		fl.revision++
		for _, in := range fl.instances {
			if in.up && !in.cut && !fl.storeAway {
				in.directory.ApplyList(list, nil, position.Position{Revision: fl.revision}, time.Now())
			}
		}
		fl.mu.Unlock()
	}
}

// sleepAwake sleeps, and on as long as the instance is frozen. It reports false when the life has ended.
func (fl *simFleet) sleepAwake(in *simInstance, life int, d time.Duration) bool {
	time.Sleep(d)
	for {
		fl.mu.Lock()
		lives, frozen := in.up && in.life == life, time.Until(in.frozen)
		fl.mu.Unlock()
		if !lives || frozen <= 0 {
			return lives
		}
		time.Sleep(frozen)
	}
}

// call takes one request of a caller through an instance, as a gateway does.
func (fl *simFleet) call(in *simInstance, no int) {
	fl.mu.Lock()
	if !in.up {
		fl.mu.Unlock()
		return
	}
	life, be := in.life, in.beliefs
	ca := &simCall{from: simLife{in.no, life}, sent: time.Now()}
	fl.calls = append(fl.calls, ca)
	fl.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	defer cancel()
	var tried []string
	for len(tried) < simAttempts && !ca.served {
		sl, err := be.dispatcher.Acquire(ctx, dispatch.Request{
			ID: strconv.Itoa(no), Service: routes.Service{Name: "s"}, Exclude: tried, Objective: simObjective,
			Arrived: ca.sent, Deadline: ca.sent.Add(simDeadline), CanRetry: len(tried) == 0, Retried: len(tried) > 0,
		})
		if err != nil {
			return
		}
		if !fl.sleepAwake(in, life, fl.connect()) {
			ca.dropped = true
			sl.Release()
			return
		}
		if fl.mayLeave(be, sl.Target.ID) {
			verdict, lives := fl.exchange(in, life, be, sl, ca)
			ca.dropped = !lives
			if verdict != answer.Misdirected {
				tried = append(tried, sl.Target.ID)
			}
		}
		sl.Release()
		if ca.dropped {
			return
		}
	}
}

// connect is how long a connection takes to come up: now and then a first packet is lost.
func (fl *simFleet) connect() time.Duration {
	if fl.float() < 0.02 {
		return time.Second
	}
	return simTravel
}

// mayLeave is the question that a gateway asks right before it sends a request.
func (fl *simFleet) mayLeave(be beliefs, id string) bool {
	_, backedOff := be.recorder.BackOffs.Until(id)
	return !backedOff && be.directory.TakesWork(id)
}

// exchange sends a request to a target and takes its answer. It reports false when the instance ended meanwhile.
func (fl *simFleet) exchange(in *simInstance, life int, be beliefs, sl *dispatch.Slot, ca *simCall) (answer.Verdict, bool) {
	meant := sl.Target
	sent := time.Now()
	time.Sleep(simTravel)
	tg, at, hd := fl.arrive(meant, ca)
	if hd.Verdict == answer.Answered {
		time.Sleep(simWork)
	}
	tg.note(at, func(ex *simExchange) { ex.answered = time.Now() })
	if !fl.sleepAwake(in, life, simTravel) {
		return hd.Verdict, false
	}
	if hd.Verdict == answer.Misdirected {
		be.directory.MarkLeaving(meant.ID)
	}
	be.recorder.Record(feedback.Report{Source: feedback.RequestAnswer, Target: meant, Head: hd, SentAt: sent, ReceivedAt: time.Now()})
	be.directory.RecordReachable(meant.ID)
	if hd.BackOff > 0 {
		sl.RecordBackOff(hd.BackOff)
		fl.hint(in, life, be)
		time.AfterFunc(hd.BackOff, func() { fl.hint(in, life, be) })
	}
	tg.note(at, func(ex *simExchange) { ex.passed = time.Now() })
	ca.served = hd.Verdict == answer.Answered
	return hd.Verdict, true
}

// arrive notes a request at a target, and returns where and what it is answered with.
func (fl *simFleet) arrive(meant targets.Target, ca *simCall) (*simTarget, int, answer.Head) {
	tg := fl.targetOf(meant)
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.ID != meant.ID {
		return tg, tg.add(simExchange{from: ca.from, sent: ca.sent}), answer.Head{Verdict: answer.Misdirected, TargetName: tg.NameOrID()}
	}
	hd := answer.Head{Leaving: tg.leaving, BackOff: tg.backOff}
	if tg.backOff > 0 {
		hd.Verdict = answer.Shed
		ca.met = append(ca.met, metRefusal{known: tg.turnedAway(ca.from)})
	}
	return tg, tg.add(simExchange{
		incarnation: tg.ID, from: ca.from, sent: ca.sent, came: time.Now(), leaving: tg.leaving, backOff: tg.backOff,
	}), hd
}

func (fl *simFleet) targetOf(meant targets.Target) *simTarget {
	no, err := strconv.Atoi(meant.Address)
	if err != nil {
		panic(err)
	}
	return fl.targets[no]
}

// turnedAway reports whether the target has turned a life of an instance away long enough ago for that to know. The lock is held.
func (tg *simTarget) turnedAway(from simLife) bool {
	for _, ex := range tg.all {
		if ex.from == from && ex.backOff > 0 && !ex.passed.IsZero() && time.Since(ex.passed) > underWay {
			return true
		}
	}
	return false
}

// add notes an exchange and returns its place. The lock is held.
func (tg *simTarget) add(ex simExchange) int {
	tg.all = append(tg.all, ex)
	return len(tg.all) - 1
}

func (tg *simTarget) note(at int, edit func(*simExchange)) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	edit(&tg.all[at])
}

// replace starts the next incarnation of a target under its name, which owes nothing.
func (tg *simTarget) replace() {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.StartedAt = time.Now()
	tg.ID = tg.Name + "@" + strconv.FormatInt(tg.StartedAt.UnixNano(), 36)
	tg.leaving, tg.backOff = false, 0
}

func (tg *simTarget) say(leaving bool, backOff time.Duration) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.leaving, tg.backOff = leaving, backOff
}
