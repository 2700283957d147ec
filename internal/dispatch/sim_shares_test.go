package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/dispatch"
	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/loadreport"
	"github.com/silvermount/silvermount/internal/routes"
)

// usageExchangeInterval is how often instances tell each other of the usage of organisations, and usageDelay how long that takes.
const (
	usageExchangeInterval = 250 * time.Millisecond
	usageDelay            = 20 * time.Millisecond
)

// organisationTraffic is the traffic of one organisation.
type organisationTraffic struct {
	ratePerSecond map[requestClass]float64
	// repeats is how often a refused request is sent again. At zero delay the callers do not heed Retry-After.
	repeats int
	// heedsRetryAfter is set if callers wait before they repeat.
	heedsRetryAfter bool
}

// sharesPattern is a fleet and the traffic of organisations.
type sharesPattern struct {
	instances, targets int
	duration           time.Duration
	organisations      map[string]organisationTraffic
	// shares enables fair shares, neutralWorth values answers neutrally.
	shares, neutralWorth bool
	// measureFrom is the time since the start from which requests count.
	measureFrom time.Duration
	// usageReaches and loadsReach report whether the usage or the loads known at one instance reach another at a time since the start.
	// nil stands for always.
	usageReaches, loadsReach func(from, to int, after time.Duration) bool
	// lives reports whether an instance is alive at a time since the start; nil if all are.
	lives func(instance int, after time.Duration) bool
	// change is called when requests begin to count; it may be nil.
	change func(instances []*simInstance)
}

// organisationResult counts the requests of one organisation.
type organisationResult struct {
	requests, attempts, inTime, late, refused int
	// engineTime is that of all answers.
	engineTime time.Duration
	// wanted and served hold the prompt tokens of requests, by whether they were answered.
	wanted, served []int
}

type sharesResult struct {
	mu             sync.Mutex
	byOrganisation map[string]*organisationResult
	// shareRefusals holds the refusals by share of all instances.
	shareRefusals []dispatch.ShareRefusal
}

func (sr *sharesResult) engineTime() time.Duration {
	sum := time.Duration(0)
	for _, or := range sr.byOrganisation {
		sum += or.engineTime
	}
	return sum
}

// part returns the part of all engine time that an organisation got.
func (sr *sharesResult) part(name string) float64 {
	return float64(sr.byOrganisation[name].engineTime) / float64(sr.engineTime())
}

func (sr *sharesResult) String() string {
	names := []string{}
	for name := range sr.byOrganisation {
		names = append(names, name)
	}
	slices.Sort(names)
	var sb strings.Builder
	sum := organisationResult{}
	for _, name := range names {
		or := sr.byOrganisation[name]
		if len(names) <= 4 || name == names[0] || name == names[len(names)-1] {
			fmt.Fprintf(&sb, "%s: requests %d, attempts %d, in time %d, late %d, refused %d, engine time %.3f of all\n",
				name, or.requests, or.attempts, or.inTime, or.late, or.refused, sr.part(name))
		}
		sum.requests += or.requests
		sum.inTime += or.inTime
		sum.late += or.late
		sum.refused += or.refused
		sum.attempts += or.attempts
	}
	fmt.Fprintf(&sb, "all: requests %d, attempts %d, in time %d, late %d, refused %d, engine time %s; refused by share %d",
		sum.requests, sum.attempts, sum.inTime, sum.late, sum.refused, sr.engineTime().Round(time.Millisecond), len(sr.shareRefusals))
	return sb.String()
}

// sharesFleet is a fleet whose instances divide engine time between organisations.
type sharesFleet struct {
	*simFleet
	pattern sharesPattern
	shares  []*dispatch.Shares
	result  *sharesResult
	start   time.Time
	servers sync.WaitGroup
}

// simulateShares runs a pattern in simulated time.
func simulateShares(t *testing.T, seed uint64, sp sharesPattern) *sharesResult {
	t.Helper()
	sr := &sharesResult{byOrganisation: map[string]*organisationResult{}}
	synctest.Test(t, func(t *testing.T) {
		fl := &sharesFleet{
			simFleet: &simFleet{rd: rand.New(rand.NewPCG(seed, 0)), engines: map[string]*simEngine{}, result: &simResult{byClass: map[requestClass]*outcomeCounts{}}},
			pattern:  sp, result: sr, start: time.Now(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range sp.targets {
			en := newSimEngine()
			fl.engines[id(i)] = en
			fl.servers.Go(func() { en.run(ctx) })
		}
		for i := range sp.instances {
			fl.addInstance(t, i)
		}
		fl.servers.Go(func() { fl.exchangeLoadsOfReached(ctx) })
		fl.servers.Go(func() { fl.exchangeUsage(ctx) })
		if sp.change != nil {
			time.AfterFunc(sp.measureFrom, func() { sp.change(fl.instances) })
		}
		fl.sendTraffic()
		fl.wg.Wait()
		cancel()
		fl.servers.Wait()
	})
	t.Logf("%d instances, %d targets, shares %t:\n%s", sp.instances, sp.targets, sp.shares, sr)
	return sr
}

func (fl *sharesFleet) addInstance(t *testing.T, i int) {
	sh := dispatch.NewShares(time.Now, dispatch.WithOnShareRefusal(func(re dispatch.ShareRefusal) {
		fl.result.mu.Lock()
		defer fl.result.mu.Unlock()
		fl.result.shareRefusals = append(fl.result.shareRefusals, re)
	}))
	hs := newHarness(t, fl.pattern.targets, func(op *dispatch.Options) {
		op.Instance = fmt.Sprint("instance-", i)
		op.NeutralWorth = fl.pattern.neutralWorth
		if fl.pattern.shares {
			op.Shares = sh
		}
	})
	hs.SetPropagationDelay(func() time.Duration { return loadExchangeInterval })
	fl.instances = append(fl.instances, &simInstance{harness: hs, name: fmt.Sprint("instance-", i)})
	fl.shares = append(fl.shares, sh)
}

// exchangeUsage tells all instances of the usage at each other one, some time late.
func (fl *sharesFleet) exchangeUsage(ctx context.Context) {
	parts := make([]loadreport.Part, len(fl.shares))
	for i, sh := range fl.shares {
		parts[i] = sh.Part(func(peer string, err error) { panic(peer + err.Error()) })
	}
	for ctx.Err() == nil && fl.pattern.shares {
		made := time.Now()
		bodies := make([][]byte, len(parts))
		for i, pt := range parts {
			bodies[i] = pt.Encode(made)
		}
		time.Sleep(usageDelay)
		for from, body := range bodies {
			for to, pt := range parts {
				if from != to && fl.reaches(fl.pattern.usageReaches, from, to) {
					pt.Receive(fl.instances[from].name, body, made)
				}
			}
		}
		time.Sleep(usageExchangeInterval - usageDelay)
	}
}

// reaches reports whether one instance hears another now.
func (fl *sharesFleet) reaches(rule func(from, to int, after time.Duration) bool, from, to int) bool {
	after := time.Since(fl.start)
	return (rule == nil || rule(from, to, after)) && fl.lives(from)
}

// lives reports whether an instance is alive now.
func (fl *sharesFleet) lives(instance int) bool {
	return fl.pattern.lives == nil || fl.pattern.lives(instance, time.Since(fl.start))
}

// exchangeLoadsOfReached publishes the loads of each instance to those that hear it. The others forget them.
func (fl *sharesFleet) exchangeLoadsOfReached(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(loadExchangeInterval)
		for i, from := range fl.instances {
			loads := from.OwnLoads()
			lost := fl.pattern.loadsReach != nil || fl.pattern.lives != nil
			if !lost && maps.Equal(loads, from.lastPublished) {
				continue
			}
			from.lastPublished = loads
			for j, to := range fl.instances {
				switch {
				case i == j:
				case fl.reaches(fl.pattern.loadsReach, i, j):
					to.SetPeerLoads(from.name, loads)
				default:
					to.SetPeerLoads(from.name, nil)
				}
			}
		}
	}
}

// liveInstance draws an instance that is alive.
func (fl *sharesFleet) liveInstance() *simInstance {
	for {
		if i := fl.rd.IntN(len(fl.instances)); fl.lives(i) {
			return fl.instances[i]
		}
	}
}

// resultOf returns where a request of an organisation counts that begins now.
func (fl *sharesFleet) resultOf(name string) *organisationResult {
	if time.Since(fl.start) < fl.pattern.measureFrom {
		return &organisationResult{}
	}
	return fl.result.byOrganisation[name]
}

// sendTraffic sends the requests of all organisations.
func (fl *sharesFleet) sendTraffic() {
	names := []string{}
	for name := range fl.pattern.organisations {
		names = append(names, name)
		fl.result.byOrganisation[name] = &organisationResult{}
	}
	slices.Sort(names)
	for over := time.Now().Add(fl.pattern.duration); time.Now().Before(over); time.Sleep(time.Millisecond) {
		for _, name := range names {
			og := fl.pattern.organisations[name]
			for _, rc := range []requestClass{shortClass, middleClass, longClass} {
				if fl.rd.Float64() < og.ratePerSecond[rc]*time.Millisecond.Seconds() {
					fl.sendRequest(name, og, rc)
				}
			}
		}
	}
}

func (fl *sharesFleet) sendRequest(name string, og organisationTraffic, rc requestClass) {
	tokens := int(float64(rc.tokens) * math.Exp(promptSizeSigma*fl.rd.NormFloat64()-promptSizeSigma*promptSizeSigma/2))
	instances := make([]*simInstance, og.repeats+1)
	for i := range instances {
		instances[i] = fl.liveInstance()
	}
	or := fl.resultOf(name)
	fl.result.mu.Lock()
	or.requests++
	or.wanted = append(or.wanted, tokens)
	fl.result.mu.Unlock()
	fl.wg.Go(func() {
		for _, in := range instances {
			again, served := fl.tryOnce(in, name, or, rc, tokens)
			if served {
				return
			}
			if og.heedsRetryAfter {
				time.Sleep(again)
			}
		}
		fl.result.mu.Lock()
		defer fl.result.mu.Unlock()
		or.refused++
	})
}

// tryOnce sends a request of a caller once. It returns after which time it may be repeated, and whether it was answered.
func (fl *sharesFleet) tryOnce(in *simInstance, name string, or *organisationResult, rc requestClass, tokens int) (time.Duration, bool) {
	rq := plainRequest()
	rq.ID = fmt.Sprint("request-", requestIDs.Add(1))
	rq.Organisation, rq.PromptTokens, rq.MaxAnswerTokens, rq.MaxPause = name, tokens, rc.events*simEngineConfig.StepsPerPass, rc.maxPause
	rq.Objective, rq.Deadline, rq.CallerIdleTimeout = rc.objective, rq.Arrived.Add(rc.deadline), 4*rc.objective
	rq.Service = routes.Service{Name: "s", Engine: &simEngineConfig}
	ctx, cancel := context.WithDeadline(context.Background(), rq.Deadline)
	defer cancel()
	sl, err := in.Acquire(ctx, rq)
	fl.result.mu.Lock()
	or.attempts++
	fl.result.mu.Unlock()
	if err != nil {
		var fe *failure.Error
		if !errors.As(err, &fe) {
			return 0, false
		}
		return fe.RetryAfter, false
	}
	firstToken, longestPause, complete := fl.serveAttempt(ctx, rc, rq, sl)
	if !complete {
		return 0, false
	}
	fl.result.mu.Lock()
	defer fl.result.mu.Unlock()
	or.served = append(or.served, tokens)
	or.engineTime += simEngineConfig.EngineTimeOf(int64(tokens), int64(rc.events*simEngineConfig.StepsPerPass))
	if firstToken > rc.objective || longestPause > rc.maxPause {
		or.late++
	} else {
		or.inTime++
	}
	return 0, true
}

// overloadOf returns the traffic of 24 organisations, which all send short prompts at the same rate, given in total, and repeat once when they
// are told to. The first sends five times as many, and repeats them three times as often as the others, immediately.
func overloadOf(rate float64) map[string]organisationTraffic {
	orgs := map[string]organisationTraffic{}
	const count = 24
	for i := range count {
		orgs[fmt.Sprintf("o%02d", i)] = organisationTraffic{ratePerSecond: map[requestClass]float64{shortClass: rate / count}, repeats: 1, heedsRetryAfter: true}
	}
	orgs["o00"] = organisationTraffic{ratePerSecond: map[requestClass]float64{shortClass: 5 * rate / count}, repeats: 3}
	return orgs
}

// repeatingOverload is twice as much as the engines can serve, of which one organisation repeats three times as often as the others.
func repeatingOverload(instances int) sharesPattern {
	return sharesPattern{instances: instances, targets: 20, duration: 11 * time.Second, measureFrom: 3 * time.Second, organisations: overloadOf(160)}
}

// leastPart returns how much of what it could have got the worst organisation other than o00 got: of what it wanted, or of an equal part of all
// engine time if that is less.
func (sr *sharesResult) leastPart() float64 {
	least := 1.0
	equal := sr.engineTime() / time.Duration(len(sr.byOrganisation))
	for name, or := range sr.byOrganisation {
		wanted := time.Duration(0)
		for _, tokens := range or.wanted {
			wanted += simEngineConfig.EngineTimeOf(int64(tokens), int64(shortClass.events*simEngineConfig.StepsPerPass))
		}
		if name != "o00" {
			least = min(least, float64(or.engineTime)/float64(min(wanted, equal)))
		}
	}
	return least
}

// inTime returns the number of answers in time.
func (sr *sharesResult) inTime() int {
	sum := 0
	for _, or := range sr.byOrganisation {
		sum += or.inTime
	}
	return sum
}

// TestRepeatingOrganisationGetsItsShare guards against engine time that goes to those that send and repeat most.
func TestRepeatingOrganisationGetsItsShare(t *testing.T) {
	off := simulateShares(t, 1, repeatingOverload(9))
	for _, instances := range []int{9, 72} {
		g := NewWithT(t)
		sp := repeatingOverload(instances)
		sp.shares = true
		on := simulateShares(t, 1, sp)
		t.Logf("least part without shares %.4f, with %.4f", off.leastPart(), on.leastPart())
		share := 1 / float64(len(sp.organisations))
		g.Expect(off.part("o00")).To(BeNumerically(">", 1.3*share), "%d instances", instances)
		g.Expect(on.part("o00")).To(BeNumerically("<=", 1.2*share), "%d instances", instances)
		g.Expect(on.leastPart()).To(BeNumerically(">", 0.6), "%d instances", instances)
		g.Expect(on.engineTime()).To(BeNumerically(">=", 90*off.engineTime()/100), "%d instances", instances)
		g.Expect(on.inTime()*100).To(BeNumerically(">=", 95*off.inTime()), "%d instances", instances)
	}
}

// TestSharesOnFailures guards against shares that no longer limit an organisation, or starve others, when instances know less.
func TestSharesOnFailures(t *testing.T) {
	// A third of the instances is one zone.
	sameZone := func(from, to int) bool { return (from < 3) == (to < 3) }
	const at = 3 * time.Second
	tests := map[string]struct {
		edit func(sp *sharesPattern)
		// bound is the greatest part that the repeating organisation may get, in shares.
		bound float64
	}{
		"peers are silent": {func(sp *sharesPattern) {
			sp.usageReaches = func(_, _ int, after time.Duration) bool { return after < at }
		}, 1.5},
		"zone is cut off": {func(sp *sharesPattern) {
			sp.usageReaches = func(from, to int, after time.Duration) bool { return after < at || sameZone(from, to) }
			sp.loadsReach = sp.usageReaches
			sp.change = func(instances []*simInstance) {
				for i, in := range instances {
					for tg := range sp.targets {
						in.putTarget(tg, zone, (i < 3) != (tg < sp.targets/3))
					}
				}
			}
		}, 1.5},
		"instance dies": {func(sp *sharesPattern) {
			sp.lives = func(instance int, after time.Duration) bool { return after < at || instance > 0 }
		}, 1.2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sp := repeatingOverload(9)
			sp.shares = true
			tc.edit(&sp)
			sr := simulateShares(t, 1, sp)
			g := NewWithT(t)
			g.Expect(sr.part("o00")).To(BeNumerically("<=", tc.bound/24))
			t.Logf("least part %.3f", sr.leastPart())
			g.Expect(sr.leastPart()).To(BeNumerically(">", 0.5))
		})
	}
}

// TestUnusedSharesAreUsed guards against engines that idle because those that want more are above an equal share.
func TestUnusedSharesAreUsed(t *testing.T) {
	sp := repeatingOverload(9)
	for name, og := range sp.organisations {
		og.repeats, og.heedsRetryAfter = 1, true
		og.ratePerSecond = map[requestClass]float64{shortClass: 1}
		if name < "o04" {
			og.ratePerSecond = map[requestClass]float64{shortClass: 50}
		}
		sp.organisations[name] = og
	}
	off := simulateShares(t, 1, sp)
	sp.shares = true
	on := simulateShares(t, 1, sp)
	served := func(sr *sharesResult) (small, wanted int) {
		for name, or := range sr.byOrganisation {
			if name >= "o04" {
				small, wanted = small+len(or.served), wanted+or.requests
			}
		}
		return small, wanted
	}
	servedWithout, _ := served(off)
	servedWith, wanted := served(on)
	t.Logf("of %d prompts of small organisations, %d are served without shares, %d with", wanted, servedWithout, servedWith)
	g := NewWithT(t)
	g.Expect(servedWith*10).To(BeNumerically(">=", 7*wanted), "organisations below their shares get what they want")
	// Fewer late answers are placed, which take engine time too: 0.93 to 0.98 of the engine time is used. Held at equal shares, the large
	// organisations would leave most of it idle.
	g.Expect(on.engineTime()).To(BeNumerically(">=", 90*off.engineTime()/100), "what they leave is used")
	g.Expect(on.inTime()*100).To(BeNumerically(">=", 95*off.inTime()), "by answers in time")
}

// TestNoShareWhileThereIsRoom guards against refusals of an organisation that only uses what nobody else wants.
func TestNoShareWhileThereIsRoom(t *testing.T) {
	alone := organisationTraffic{ratePerSecond: map[requestClass]float64{shortClass: 200}, repeats: 1}
	tests := map[string]map[string]organisationTraffic{
		"room for all":        overloadOf(60),
		"single organisation": {"o00": alone},
	}
	for name, orgs := range tests {
		t.Run(name, func(t *testing.T) {
			sp := repeatingOverload(9)
			sp.shares, sp.organisations = true, orgs
			NewWithT(t).Expect(simulateShares(t, 1, sp).shareRefusals).To(BeEmpty())
		})
	}
}

// servedOfLargest returns the part that was answered of all prompts and of the largest tenth.
func (or *organisationResult) servedOfLargest() (all, largest float64) {
	slices.Sort(or.wanted)
	bound := or.wanted[len(or.wanted)*9/10]
	isLargest := func(tokens int) bool { return tokens >= bound }
	count := func(sizes []int) (sum float64) {
		for _, tokens := range sizes {
			if isLargest(tokens) {
				sum++
			}
		}
		return sum
	}
	return float64(len(or.served)) / float64(len(or.wanted)), count(or.served) / count(or.wanted)
}

// TestLargestPromptsAreNotStarvedByShares guards against a share that goes to the short prompts of an organisation alone, as a whole; the turns
// themselves are tested in package fairshare.
func TestLargestPromptsAreNotStarvedByShares(t *testing.T) {
	sp := repeatingOverload(9)
	og := sp.organisations["o00"]
	og.ratePerSecond = map[requestClass]float64{shortClass: 20, middleClass: 5}
	sp.organisations["o00"] = og
	sp.shares, sp.duration = true, 25*time.Second
	all, largest := simulateShares(t, 1, sp).byOrganisation["o00"].servedOfLargest()
	t.Logf("answered %.3f of all, %.3f of the largest tenth", all, largest)
	NewWithT(t).Expect(largest).To(BeNumerically(">=", 0.5*all))
}
