package feedback_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/silvermount/silvermount/internal/backoff"
	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/feedback"
	"github.com/silvermount/silvermount/internal/placement"
	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/ratelimit"
	"github.com/silvermount/silvermount/internal/responsehead"
	"github.com/silvermount/silvermount/internal/routes"
	"github.com/silvermount/silvermount/internal/targets"
)

const (
	// From simStatesBegin to simStatesEnd some targets are leaving or shed requests. simDuration is the length of the simulation.
	simStatesBegin = 2 * time.Second
	simStatesEnd   = 9 * time.Second
	simDuration    = 16 * time.Second
	// simListInterval is the time between two reads of the list of the store.
	simListInterval = time.Second
	// simObjective and simDeadline apply to every request, which may be sent to at most simMaxAttempts targets.
	simObjective   = 500 * time.Millisecond
	simDeadline    = 4 * time.Second
	simMaxAttempts = 2
	// simServiceTime is how long a target runs a request, simLatency the one-way network latency, and simMaxPeerDelay the longest
	// time until a peer receives an announcement.
	simServiceTime  = 30 * time.Millisecond
	simLatency      = time.Millisecond
	simMaxPeerDelay = 50 * time.Millisecond
	// simSlots is large enough for the targets that still accept work to carry the whole load.
	simSlots = 8
)

// disturbances are the faults of instances and store in a scenario.
type disturbances struct {
	// kills, freezes and cuts are how many instances have each fault, at random times. A killed instance starts again; one that is cut
	// off reaches neither the store nor its peers.
	kills, freezes, cuts int
	// storeSilent makes the store unreachable for as long as targets are leaving or shed requests.
	storeSilent bool
}

// simTarget is one simulated target with the exchanges of all its incarnations.
type simTarget struct {
	mu sync.Mutex
	targets.Target
	leaving   bool
	backOff   time.Duration
	exchanges []simExchange
}

// simExchange is one request that reached a target, and what its answer stated.
type simExchange struct {
	incarnation string
	process     simProcess
	// sentAt is when the caller sent the request, arrivedAt when it reached the target, answeredAt when the target answered, and
	// recordedAt when the instance had recorded the answer; zero if that never happened.
	sentAt, arrivedAt, answeredAt, recordedAt time.Time
	leaving                                   bool
	backOff                                   time.Duration
}

// simProcess identifies one process of an instance, which has a new one after each start.
type simProcess struct{ instance, number int }

// simInstance is one instance. All fields but index are guarded by simFleet.mu.
type simInstance struct {
	// process is the number of its latest process.
	index, process int
	running        bool
	// frozenUntil is when its frozen process continues.
	frozenUntil time.Time
	partitioned bool
	// disturbedAt is when its process last started, or continues after a freeze.
	disturbedAt time.Time
	// loadsPending is set while an announcement of its loads to peers is under way.
	loadsPending bool
	components
}

// components are the parts of an instance under test; each process has new ones.
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
	// instanceEnded is set if the process ended before the call did.
	instanceEnded bool
	// refusals holds the answers that shed the call, in order.
	refusals []refusal
}

// refusal is an answer that sheds a request. It is expected if the process already knew that the target sheds.
type refusal struct{ expected bool }

// simFleet holds the instances and targets of a simulation.
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

func (fl *simFleet) randomBelow(d time.Duration) time.Duration {
	return time.Duration(fl.float() * float64(d))
}

// newComponents returns the components of an instance that starts.
func (fl *simFleet) newComponents(in *simInstance) components {
	lg := &log.Logger{Handler: discard.New()}
	dr := targets.New(time.Now)
	bk := backoff.New(time.Now, fl.float)
	process := in.process
	rc := feedback.New(feedback.Deps{
		Targets: dr, RateLimits: ratelimit.New(time.Now), BackOffs: bk, Log: lg, Now: time.Now,
		OnLeavingChange: func() { fl.announceLeaving(in, process, dr) }, OnRateLimitChange: func() {},
	})
	ds := dispatch.New(dr, nil, dispatch.Options{Instance: strconv.Itoa(in.index), AvailabilityZone: "z", Now: time.Now, BackOffs: bk})
	return components{directory: dr, recorder: rc, dispatcher: ds}
}

// announceLeaving announces to all peers which targets are leaving.
func (fl *simFleet) announceLeaving(in *simInstance, process int, dr *targets.Directory) {
	leaving := dr.LeavingIDs()
	fl.mu.Lock()
	peers := append([]*simInstance{}, fl.instances...)
	fl.mu.Unlock()
	for _, peer := range peers {
		fl.wg.Go(func() {
			time.Sleep(fl.randomBelow(simMaxPeerDelay))
			fl.mu.Lock()
			connected := in.running && in.process == process && !in.partitioned && peer.running && !peer.partitioned
			at := peer.directory
			fl.mu.Unlock()
			for _, id := range leaving {
				if connected {
					at.MarkLeaving(id)
				}
			}
		})
	}
}

// announceLoads announces to all peers the loads that an instance assumes at targets that asked it for a back-off, as an instance
// announces all its loads.
func (fl *simFleet) announceLoads(in *simInstance, process int, cs components) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if in.loadsPending || in.process != process {
		return
	}
	in.loadsPending = true
	fl.wg.Go(func() {
		time.Sleep(fl.randomBelow(simMaxPeerDelay))
		loads := map[string]placement.Load{}
		for id, lo := range cs.dispatcher.OwnLoads() {
			if _, backedOff := cs.recorder.BackOffs.Until(id); backedOff {
				loads[id] = lo
			}
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		in.loadsPending = false
		for _, peer := range fl.instances {
			if peer != in && in.running && in.process == process && !in.partitioned && peer.running && !peer.partitioned {
				peer.dispatcher.SetPeerLoads(strconv.Itoa(in.index), loads)
			}
		}
	})
}

// startInstance starts a new process of an instance with the list of the store.
func (fl *simFleet) startInstance(in *simInstance) {
	list := fl.storeList()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	in.process++
	in.running, in.disturbedAt, in.frozenUntil = true, time.Now(), time.Time{}
	in.components = fl.newComponents(in)
	// A process that starts while the store is unreachable gets the list from a peer.
	in.directory.ApplyList(list, nil, position.Position{Revision: fl.revision}, time.Now())
}

// storeList returns the list of the store, which contains all targets as ready.
func (fl *simFleet) storeList() []targets.Target {
	var list []targets.Target
	for _, tg := range fl.targets {
		tg.mu.Lock()
		list = append(list, tg.Target)
		tg.mu.Unlock()
	}
	return list
}

// followStore applies the newest list to each instance that reaches the store, sometimes with one entry missing.
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

// sleepWhileRunning sleeps, and continues to sleep while the instance is frozen. It reports false if the process has ended.
func (fl *simFleet) sleepWhileRunning(in *simInstance, process int, d time.Duration) bool {
	time.Sleep(d)
	for {
		fl.mu.Lock()
		running, frozen := in.running && in.process == process, time.Until(in.frozenUntil)
		fl.mu.Unlock()
		if !running || frozen <= 0 {
			return running
		}
		time.Sleep(frozen)
	}
}

// call sends one request of a caller through an instance, as the gateway does.
func (fl *simFleet) call(in *simInstance, no int) {
	fl.mu.Lock()
	if !in.running {
		fl.mu.Unlock()
		return
	}
	process, cs := in.process, in.components
	ca := &simCall{process: simProcess{in.index, process}, sentAt: time.Now()}
	fl.calls = append(fl.calls, ca)
	fl.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), simDeadline)
	defer cancel()
	var tried []string
	for len(tried) < simMaxAttempts && !ca.served {
		sl, err := cs.dispatcher.Acquire(ctx, dispatch.Request{
			ID: strconv.Itoa(no), Service: routes.Service{Name: "s"}, Exclude: tried, Objective: simObjective,
			Arrived: ca.sentAt, Deadline: ca.sentAt.Add(simDeadline), CanRetry: len(tried) == 0, Retried: len(tried) > 0,
		})
		if err != nil {
			return
		}
		if !fl.sleepWhileRunning(in, process, fl.connectTime()) {
			ca.instanceEnded = true
			sl.Release()
			return
		}
		if fl.maySend(cs, sl.Target.ID) {
			verdict, running := fl.exchange(in, process, cs, sl, ca)
			ca.instanceEnded = !running
			if verdict != responsehead.Misdirected {
				tried = append(tried, sl.Target.ID)
			}
		}
		sl.Release()
		if ca.instanceEnded {
			return
		}
	}
}

// connectTime returns how long a connection takes to open: one in fifty loses its first packet.
func (fl *simFleet) connectTime() time.Duration {
	if fl.float() < 0.02 {
		return time.Second
	}
	return simLatency
}

// maySend is the check that the gateway does right before it sends a request.
func (fl *simFleet) maySend(cs components, id string) bool {
	_, backedOff := cs.recorder.BackOffs.Until(id)
	return !backedOff && cs.directory.TakesWork(id)
}

// exchange sends a request to a target and records its answer. It reports false if the process ended meanwhile.
func (fl *simFleet) exchange(in *simInstance, process int, cs components, sl *dispatch.Slot, ca *simCall) (responsehead.Verdict, bool) {
	addressed := sl.Target
	sent := time.Now()
	time.Sleep(simLatency)
	tg, at, hd := fl.handleRequest(addressed, ca)
	if hd.Verdict == responsehead.Answered {
		time.Sleep(simServiceTime)
	}
	tg.updateExchange(at, func(ex *simExchange) { ex.answeredAt = time.Now() })
	if !fl.sleepWhileRunning(in, process, simLatency) {
		return hd.Verdict, false
	}
	if hd.Verdict == responsehead.Misdirected {
		cs.directory.MarkLeaving(addressed.ID)
	}
	cs.recorder.Record(feedback.Report{Source: feedback.RequestAnswer, Target: addressed, Head: hd, SentAt: sent, ReceivedAt: time.Now()})
	cs.directory.RecordReachable(addressed.ID)
	if hd.BackOff > 0 {
		sl.RecordBackOff(hd.BackOff)
		fl.announceLoads(in, process, cs)
		time.AfterFunc(hd.BackOff, func() { fl.announceLoads(in, process, cs) })
	}
	tg.updateExchange(at, func(ex *simExchange) { ex.recordedAt = time.Now() })
	ca.served = hd.Verdict == responsehead.Answered
	return hd.Verdict, true
}

// handleRequest records a request at the target with an address. It returns the target, the index of the exchange and the answer.
func (fl *simFleet) handleRequest(addressed targets.Target, ca *simCall) (*simTarget, int, responsehead.Head) {
	tg := fl.targetOf(addressed)
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.ID != addressed.ID {
		return tg, tg.appendExchange(simExchange{process: ca.process, sentAt: ca.sentAt}), responsehead.Head{Verdict: responsehead.Misdirected, TargetName: tg.NameOrID()}
	}
	hd := responsehead.Head{Leaving: tg.leaving, BackOff: tg.backOff}
	if tg.backOff > 0 {
		hd.Verdict = responsehead.Shed
		ca.refusals = append(ca.refusals, refusal{expected: tg.hasShed(ca.process)})
	}
	return tg, tg.appendExchange(simExchange{
		incarnation: tg.ID, process: ca.process, sentAt: ca.sentAt, arrivedAt: time.Now(), leaving: tg.leaving, backOff: tg.backOff,
	}), hd
}

func (fl *simFleet) targetOf(addressed targets.Target) *simTarget {
	no, err := strconv.Atoi(addressed.Address)
	if err != nil {
		panic(err)
	}
	return fl.targets[no]
}

// hasShed reports whether the target shed a request of a process long enough ago for the process to know. Its lock must be held.
func (tg *simTarget) hasShed(from simProcess) bool {
	for _, ex := range tg.exchanges {
		if ex.process == from && ex.backOff > 0 && !ex.recordedAt.IsZero() && time.Since(ex.recordedAt) > inFlightTime {
			return true
		}
	}
	return false
}

// appendExchange records an exchange and returns its index. The lock of the target must be held.
func (tg *simTarget) appendExchange(ex simExchange) int {
	tg.exchanges = append(tg.exchanges, ex)
	return len(tg.exchanges) - 1
}

func (tg *simTarget) updateExchange(at int, edit func(*simExchange)) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	edit(&tg.exchanges[at])
}

// replace starts the next incarnation of a target under its name; it is not leaving and sheds nothing.
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
