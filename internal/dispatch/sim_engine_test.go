package dispatch_test

import (
	"context"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// simEngineConfig is that of an engine that prefills 256,000 tokens a second and decodes 52 tokens in a pass.
var simEngineConfig = placement.Engine{
	Slots: 12, StepsPerPass: 52, ChunkTokens: 2048, MemoryTokens: 382_500, StepTime: 925 * time.Microsecond, StepTimePerRequest: 5 * time.Microsecond,
	StepTimePerThousandContext: 3 * time.Microsecond, PrefillTimePerThousand: 3906 * time.Microsecond, PrefillTimePerMillionPairs: 92 * time.Microsecond,
	HopTime: 100 * time.Microsecond, CrossZoneDelay: 500 * time.Microsecond, MeanPromptTokens: 5000, MeanAnswerTokens: 1700,
}

// prefillPart is the part of a prompt that one engine prefills.
type prefillPart struct {
	tokens, pairs int64
	// done is closed once the prefill of the part is complete.
	done chan struct{}
}

// simAnswer is an answer that an engine decodes.
type simAnswer struct {
	context int64
	// events receives one value for each pass.
	events chan struct{}
}

// simEngine simulates a batching engine on the clock of the test. Each pass prefills parts in the order of their arrival, those
// of split prompts first, and sends one event of each answer.
type simEngine struct {
	mu sync.Mutex
	// splitParts and wholeParts are the queues of parts to prefill, of split prompts and of whole prompts.
	splitParts, wholeParts []*prefillPart
	answers                map[*simAnswer]bool
	// slots holds a value for each request that is running.
	slots chan struct{}
	// failing is set for an engine that accepts each request and interrupts it at once.
	failing bool
	// slowdown returns the factor by which passes take longer than the stated figures; nil if they do not.
	slowdown func() float64
	// crashed is closed when the engine crashes.
	crashed chan struct{}
	// arrivals counts the requests received.
	arrivals int
	// arrivalTimes holds when they were received.
	arrivalTimes []time.Time
	wake         chan struct{}
}

func newSimEngine() *simEngine {
	return &simEngine{
		answers: map[*simAnswer]bool{}, slots: make(chan struct{}, simEngineConfig.Slots), wake: make(chan struct{}, 1),
		crashed: make(chan struct{}),
	}
}

// run executes passes until ctx is done.
func (en *simEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		duration, finish := en.startPass()
		if duration == 0 {
			select {
			case <-en.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(duration)
		finish()
	}
}

// startPass plans a pass, and returns its duration and the function that completes it; zero if there is nothing to do.
func (en *simEngine) startPass() (time.Duration, func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if len(en.splitParts)+len(en.wholeParts)+len(en.answers) == 0 {
		return 0, nil
	}
	steps, load := int64(1), placement.Load{Decoding: len(en.answers)}
	if len(en.answers) > 0 {
		steps = int64(simEngineConfig.StepsPerPass)
	}
	var answers []*simAnswer
	for sa := range en.answers {
		load.ContextTokens += sa.context
		answers = append(answers, sa)
	}
	room := steps * simEngineConfig.ChunkTokens
	var prefilled []*prefillPart
	for _, queue := range []*[]*prefillPart{&en.splitParts, &en.wholeParts} {
		for len(*queue) > 0 && room > 0 {
			pt := (*queue)[0]
			tokens := min(room, pt.tokens)
			pairs := pt.pairs * tokens / max(1, pt.tokens)
			load.WholePrefill = load.WholePrefill.Plus(placement.Backlog{Tokens: tokens, Pairs: pairs})
			pt.tokens, pt.pairs, room = pt.tokens-tokens, pt.pairs-pairs, room-tokens
			if pt.tokens > 0 {
				break
			}
			prefilled = append(prefilled, pt)
			*queue = (*queue)[1:]
		}
	}
	factor := 1.0
	if en.slowdown != nil {
		factor = en.slowdown()
	}
	return simEngineConfig.PassTime(placement.Target{Load: load, Slowdown: factor}), func() { en.finishPass(prefilled, answers) }
}

func (en *simEngine) finishPass(prefilled []*prefillPart, answers []*simAnswer) {
	for _, pt := range prefilled {
		close(pt.done)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, sa := range answers {
		if en.answers[sa] {
			sa.events <- struct{}{}
		}
	}
}

// addPart queues a part of a prompt for prefill.
func (en *simEngine) addPart(tokens, pairs int64, split bool) *prefillPart {
	pt := &prefillPart{tokens: tokens, pairs: pairs, done: make(chan struct{})}
	en.mu.Lock()
	if split {
		en.splitParts = append(en.splitParts, pt)
	} else {
		en.wholeParts = append(en.wholeParts, pt)
	}
	en.mu.Unlock()
	en.notify()
	return pt
}

// startAnswer starts an answer of the given number of events.
func (en *simEngine) startAnswer(context int64, events int) *simAnswer {
	sa := &simAnswer{context: context, events: make(chan struct{}, events+1)}
	en.mu.Lock()
	en.answers[sa] = true
	en.mu.Unlock()
	en.notify()
	return sa
}

func (en *simEngine) endAnswer(sa *simAnswer) {
	en.mu.Lock()
	delete(en.answers, sa)
	en.mu.Unlock()
}

func (en *simEngine) notify() {
	select {
	case en.wake <- struct{}{}:
	default:
	}
}

// setSlowdown sets the factor by which passes take longer from the next one on.
func (en *simEngine) setSlowdown(factor float64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.slowdown = func() float64 { return factor }
}

// setFailing sets whether the engine interrupts each request at once.
func (en *simEngine) setFailing(failing bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.failing = failing
}

// recordArrival counts a request, and reports whether the engine interrupts it.
func (en *simEngine) recordArrival() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.arrivals++
	en.arrivalTimes = append(en.arrivalTimes, time.Now())
	return en.failing
}
