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
	simStatesBegin = 2 * time.Second
	simStatesEnd   = 9 * time.Second
	simDuration    = 16 * time.Second
	// simListed is how often the store is asked for its list.
	simListInterval = time.Second
	// simObjective and simDeadline are those of every request, simAttempts the targets that it may be sent to.
	simObjective   = 500 * time.Millisecond
	simDeadline    = 4 * time.Second
	simMaxAttempts = 2
	// simWork is how long a target takes, simTravel one way to it, simTold the longest time until a peer hears.
	simServiceTime  = 30 * time.Millisecond
	simLatency      = time.Millisecond
	simMaxPeerDelay = 50 * time.Millisecond
	// simSlots is large enough for the load on the targets that are left.
	simSlots = 8
)

// trouble is what happens to the fleet of a play beside the words of targets.
type disturbances struct {
	// kills, freezes and cuts each strike so many instances, at moments all over the play. A killed one starts again, one that is cut off
	// reaches neither the store nor its peers.
	kills, freezes, cuts int
	// storeAway keeps the store silent from before the first word to the end.
	storeSilent bool
}

// simTarget is one target with the exchanges of its present incarnation.
type simTarget struct {
	mu sync.Mutex
	targets.Target
	leaving   bool
	backOff   time.Duration
	exchanges []simExchange
}

// simExchange is one request at a target.
type simExchange struct {
	incarnation string
	process     simProcess
	// sent is when the caller sent the request, came when it reached the target, answered when the target answered, and passed when the
	// instance passed that on; zero when it never did.
	sentAt, arrivedAt, answeredAt, recordedAt time.Time
	leaving                                   bool
	backOff                                   time.Duration
}

// simLife is one life of an instance's process.
type simProcess struct{ instance, number int }

// simInstance is one instance; all but its number is guarded by the fleet.
type simInstance struct {
	index, process int
	running        bool
	// frozen is until when its process stands still.
	frozenUntil time.Time
	partitioned bool
	// disturbed is when its process last started, or woke.
	disturbedAt time.Time
	// hinting is set while peers are about to be told of loads.
	loadsPending bool
	components
}

// beliefs are the parts of one life of an instance.
type components struct {
	directory  *targets.Directory
	recorder   *feedback.Recorder
	dispatcher *dispatch.Dispatcher
}

// simCall is one request of a caller.
type simCall struct {
	process simProcess
	sentAt  time.Time
	served  bool
	// dropped is set when its instance ended under it.
	instanceEnded bool
	// met holds the exchanges that turned it away.
	refusals []refusal
}

// metRefusal is one refusal, and whether the instance had been turned away by the same target before.
type refusal struct{ expected bool }

// simFleet is the instances and targets of a play.
type simFleet struct {
	randomMu sync.Mutex
	random   *rand.Rand

	mu          sync.Mutex
	instances   []*simInstance
	calls       []*simCall
	revision    int64
	storeSilent bool

	targets   []*simTarget
	startedAt time.Time
	wg        sync.WaitGroup
}

func (fl *simFleet) float() float64 {
	fl.randomMu.Lock()
	defer fl.randomMu.Unlock()
	return fl.random.Float64()
}

func (fl *simFleet) within(d time.Duration) time.Duration {
	return time.Duration(fl.float() * float64(d))
}

// newBeliefs returns what an instance that starts believes.
func (fl *simFleet) newComponents(in *simInstance) components {
	lg := &log.Logger{Handler: discard.New()}
	dr := targets.New(time.Now)
	bk := backoff.New(time.Now, fl.float)
	life := in.process
	rc := feedback.New(feedback.Deps{
		Targets: dr, RateLimits: ratelimit.New(time.Now), BackOffs: bk, Log: lg, Now: time.Now,
		OnLeavingChange: func() { fl.announceLeaving(in, life, dr) }, OnRateLimitChange: func() {},
	})
	ds := dispatch.New(dr, nil, dispatch.Options{Instance: strconv.Itoa(in.index), AvailabilityZone: "z", Now: time.Now, BackOffs: bk})
	return components{directory: dr, recorder: rc, dispatcher: ds}
}

// tell tells the peers which targets leave.
func (fl *simFleet) announceLeaving(in *simInstance, life int, dr *targets.Directory) {
	leaving := dr.LeavingIDs()
	fl.mu.Lock()
	peers := append([]*simInstance{}, fl.instances...)
	fl.mu.Unlock()
	for _, peer := range peers {
		fl.wg.Go(func() {
			time.Sleep(fl.within(simMaxPeerDelay))
			fl.mu.Lock()
			heard := in.running && in.process == life && !in.partitioned && peer.running && !peer.partitioned
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
func (fl *simFleet) announceLoads(in *simInstance, life int, be components) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if in.loadsPending || in.process != life {
		return
	}
	in.loadsPending = true
	fl.wg.Go(func() {
		time.Sleep(fl.within(simMaxPeerDelay))
		loads := map[string]placement.Load{}
		for id, lo := range be.dispatcher.OwnLoads() {
			if _, backedOff := be.recorder.BackOffs.Until(id); backedOff {
				loads[id] = lo
			}
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		in.loadsPending = false
		for _, peer := range fl.instances {
			if peer != in && in.running && in.process == life && !in.partitioned && peer.running && !peer.partitioned {
				peer.dispatcher.SetPeerLoads(strconv.Itoa(in.index), loads)
			}
		}
	})
}

// start begins a life of an instance with the list of the store.
func (fl *simFleet) startInstance(in *simInstance) {
	list := fl.storeList()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	in.process++
	in.running, in.disturbedAt, in.frozenUntil = true, time.Now(), time.Time{}
	in.components = fl.newComponents(in)
	// A process that starts while the store is away gets the list of a peer.
	in.directory.ApplyList(list, nil, position.Position{Revision: fl.revision}, time.Now())
}

// list returns the store's list, which says of all targets that they are ready.
func (fl *simFleet) storeList() []targets.Target {
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
	for time.Since(fl.startedAt) < simDuration {
		time.Sleep(simListInterval)
		list := fl.storeList()
		if missing := fl.float() < 0.3; missing && time.Since(fl.startedAt) < simStatesEnd {
			list = list[1:]
		}
		fl.mu.Lock()
		fl.revision++
		for _, in := range fl.instances {
			if in.running && !in.partitioned && !fl.storeSilent {
				in.directory.ApplyList(list, nil, position.Position{Revision: fl.revision}, time.Now())
			}
		}
		fl.mu.Unlock()
	}
}

// sleepAwake sleeps, and on as long as the instance is frozen. It reports false when the life has ended.
func (fl *simFleet) sleepWhileRunning(in *simInstance, life int, d time.Duration) bool {
	time.Sleep(d)
	for {
		fl.mu.Lock()
		lives, frozen := in.running && in.process == life, time.Until(in.frozenUntil)
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
	if !in.running {
		fl.mu.Unlock()
		return
	}
	life, be := in.process, in.components
	ca := &simCall{process: simProcess{in.index, life}, sentAt: time.Now()}
	fl.calls = append(fl.calls, ca)
	fl.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	defer cancel()
	var tried []string
	for len(tried) < simMaxAttempts && !ca.served {
		sl, err := be.dispatcher.Acquire(ctx, dispatch.Request{
			ID: strconv.Itoa(no), Service: routes.Service{Name: "s"}, Exclude: tried, Objective: simObjective,
			Arrived: ca.sentAt, Deadline: ca.sentAt.Add(simDeadline), CanRetry: len(tried) == 0, Retried: len(tried) > 0,
		})
		if err != nil {
			return
		}
		if !fl.sleepWhileRunning(in, life, fl.connectTime()) {
			ca.instanceEnded = true
			sl.Release()
			return
		}
		if fl.maySend(be, sl.Target.ID) {
			verdict, lives := fl.exchange(in, life, be, sl, ca)
			ca.instanceEnded = !lives
			if verdict != answer.Misdirected {
				tried = append(tried, sl.Target.ID)
			}
		}
		sl.Release()
		if ca.instanceEnded {
			return
		}
	}
}

// connect is how long a connection takes to come up: now and then a first packet is lost.
func (fl *simFleet) connectTime() time.Duration {
	if fl.float() < 0.02 {
		return time.Second
	}
	return simLatency
}

// mayLeave is the question that a gateway asks right before it sends a request.
func (fl *simFleet) maySend(be components, id string) bool {
	_, backedOff := be.recorder.BackOffs.Until(id)
	return !backedOff && be.directory.TakesWork(id)
}

// exchange sends a request to a target and takes its answer. It reports false when the instance ended meanwhile.
func (fl *simFleet) exchange(in *simInstance, life int, be components, sl *dispatch.Slot, ca *simCall) (answer.Verdict, bool) {
	meant := sl.Target
	sent := time.Now()
	time.Sleep(simLatency)
	tg, at, hd := fl.handleRequest(meant, ca)
	if hd.Verdict == answer.Answered {
		time.Sleep(simServiceTime)
	}
	tg.updateExchange(at, func(ex *simExchange) { ex.answeredAt = time.Now() })
	if !fl.sleepWhileRunning(in, life, simLatency) {
		return hd.Verdict, false
	}
	if hd.Verdict == answer.Misdirected {
		be.directory.MarkLeaving(meant.ID)
	}
	be.recorder.Record(feedback.Report{Source: feedback.RequestAnswer, Target: meant, Head: hd, SentAt: sent, ReceivedAt: time.Now()})
	be.directory.RecordReachable(meant.ID)
	if hd.BackOff > 0 {
		sl.RecordBackOff(hd.BackOff)
		fl.announceLoads(in, life, be)
		time.AfterFunc(hd.BackOff, func() { fl.announceLoads(in, life, be) })
	}
	tg.updateExchange(at, func(ex *simExchange) { ex.recordedAt = time.Now() })
	ca.served = hd.Verdict == answer.Answered
	return hd.Verdict, true
}

// arrive notes a request at a target, and returns where and what it is answered with.
func (fl *simFleet) handleRequest(meant targets.Target, ca *simCall) (*simTarget, int, answer.Head) {
	tg := fl.targetOf(meant)
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.ID != meant.ID {
		return tg, tg.appendExchange(simExchange{process: ca.process, sentAt: ca.sentAt}), answer.Head{Verdict: answer.Misdirected, TargetName: tg.NameOrID()}
	}
	hd := answer.Head{Leaving: tg.leaving, BackOff: tg.backOff}
	if tg.backOff > 0 {
		hd.Verdict = answer.Shed
		ca.refusals = append(ca.refusals, refusal{expected: tg.hasShed(ca.process)})
	}
	return tg, tg.appendExchange(simExchange{
		incarnation: tg.ID, process: ca.process, sentAt: ca.sentAt, arrivedAt: time.Now(), leaving: tg.leaving, backOff: tg.backOff,
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
func (tg *simTarget) hasShed(from simProcess) bool {
	for _, ex := range tg.exchanges {
		if ex.process == from && ex.backOff > 0 && !ex.recordedAt.IsZero() && time.Since(ex.recordedAt) > inFlightTime {
			return true
		}
	}
	return false
}

// add notes an exchange and returns its place. The lock is held.
func (tg *simTarget) appendExchange(ex simExchange) int {
	tg.exchanges = append(tg.exchanges, ex)
	return len(tg.exchanges) - 1
}

func (tg *simTarget) updateExchange(at int, edit func(*simExchange)) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	edit(&tg.exchanges[at])
}

// replace starts the next incarnation of a target under its name, which owes nothing.
func (tg *simTarget) replace() {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.StartedAt = time.Now()
	tg.ID = tg.Name + "@" + strconv.FormatInt(tg.StartedAt.UnixNano(), 36)
	tg.leaving, tg.backOff = false, 0
}

func (tg *simTarget) setState(leaving bool, backOff time.Duration) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.leaving, tg.backOff = leaving, backOff
}
