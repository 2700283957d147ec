package dispatch_test

import (
	"context"
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/placement"
)

// replayFigures are those of an engine that reads 256,000 tokens a second and writes 52 tokens in a pass.
var replayFigures = placement.Engine{
	Slots: 12, Stride: 52, Chunk: 2048, Memory: 382_500, Step: 925 * time.Microsecond, PerWriter: 5 * time.Microsecond,
	PerThousandContext: 3 * time.Microsecond, PerThousandRead: 3906 * time.Microsecond, PerMillionPairs: 92 * time.Microsecond,
	Hop: 100 * time.Microsecond, ZoneDelay: 500 * time.Microsecond, UsualPrompt: 5000, UsualAnswer: 1700,
}

// part is what an engine reads of a prompt.
type part struct {
	tokens, pairs int64
	// read is closed once it is read.
	read chan struct{}
}

// writer is an answer that an engine writes.
type writer struct {
	context int64
	// events gets one value for each pass.
	events chan struct{}
}

// replayEngine is a batching engine on the clock of the test: in each pass it reads parts in the order in which they came, those of
// split prompts first, and writes an event of each answer.
type replayEngine struct {
	mu sync.Mutex
	// split and whole are what is to be read.
	split, whole []*part
	writers      map[*writer]bool
	// slots holds a value for each request that runs.
	slots chan struct{}
	// failing engines take a request and break it off at once.
	failing bool
	// arrivals counts the requests that came.
	arrivals int
	wake     chan struct{}
}

func newReplayEngine() *replayEngine {
	return &replayEngine{
		writers: map[*writer]bool{}, slots: make(chan struct{}, replayFigures.Slots), wake: make(chan struct{}, 1),
	}
}

// run plays passes until ctx ends.
func (en *replayEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		took, finish := en.pass()
		if took == 0 {
			select {
			case <-en.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(took)
		finish()
	}
}

// pass begins a pass, and returns how long it takes and what it brings about; zero when there is nothing to do.
func (en *replayEngine) pass() (time.Duration, func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if len(en.split)+len(en.whole)+len(en.writers) == 0 {
		return 0, nil
	}
	steps, load := int64(1), placement.Load{Writers: len(en.writers)}
	if len(en.writers) > 0 {
		steps = int64(replayFigures.Stride)
	}
	var written []*writer
	for wr := range en.writers {
		load.Context += wr.context
		written = append(written, wr)
	}
	room := steps * replayFigures.Chunk
	var read []*part
	for _, queue := range []*[]*part{&en.split, &en.whole} {
		for len(*queue) > 0 && room > 0 {
			pt := (*queue)[0]
			tokens := min(room, pt.tokens)
			pairs := pt.pairs * tokens / max(1, pt.tokens)
			load.Whole = load.Whole.Plus(placement.Backlog{Tokens: tokens, Pairs: pairs})
			pt.tokens, pt.pairs, room = pt.tokens-tokens, pt.pairs-pairs, room-tokens
			if pt.tokens > 0 {
				break
			}
			read = append(read, pt)
			*queue = (*queue)[1:]
		}
	}
	return replayFigures.PassTime(placement.Target{Load: load, Pace: 1}), func() { en.finish(read, written) }
}

func (en *replayEngine) finish(read []*part, written []*writer) {
	for _, pt := range read {
		close(pt.read)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, wr := range written {
		if en.writers[wr] {
			wr.events <- struct{}{}
		}
	}
}

// add has a part read.
func (en *replayEngine) add(tokens, pairs int64, split bool) *part {
	pt := &part{tokens: tokens, pairs: pairs, read: make(chan struct{})}
	en.mu.Lock()
	if split {
		en.split = append(en.split, pt)
	} else {
		en.whole = append(en.whole, pt)
	}
	en.mu.Unlock()
	en.stir()
	return pt
}

// write begins an answer of so many events.
func (en *replayEngine) write(context int64, events int) *writer {
	wr := &writer{context: context, events: make(chan struct{}, events+1)}
	en.mu.Lock()
	en.writers[wr] = true
	en.mu.Unlock()
	en.stir()
	return wr
}

// done ends an answer.
func (en *replayEngine) done(wr *writer) {
	en.mu.Lock()
	delete(en.writers, wr)
	en.mu.Unlock()
}

func (en *replayEngine) stir() {
	select {
	case en.wake <- struct{}{}:
	default:
	}
}

// arrive counts a request, and reports whether the engine breaks it off.
func (en *replayEngine) arrive() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.arrivals++
	return en.failing
}
