package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/failure"
	"github.com/silvermount/silvermount/internal/objectstore"
)

// faultyStore is one claim object whose writes can be refused or lose their answers. Its lock orders its steps.
type faultyStore struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	step    chan struct{}
	version int64
	value   []byte
	// faults is the share of calls that go wrong.
	faults float64
}

func (fs *faultyStore) draw(n int) int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.rnd.IntN(n)
}

func (fs *faultyStore) fails() bool { return float64(fs.draw(100)) < 100*fs.faults }

// world is what really happened.
type world struct {
	mu   sync.Mutex
	dead map[string]bool
	runs int
}

func (wo *world) alive(holder string) bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return !wo.dead[holder]
}

func (wo *world) kill(holder string) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.dead[holder] = true
}

func (wo *world) run() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.runs++
}

func (wo *world) ran() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.runs
}

func (fs *faultyStore) lock(ctx context.Context) error {
	time.Sleep(time.Duration(fs.draw(20)) * time.Millisecond)
	if ctx.Err() != nil {
		return &objectstore.UnavailableError{Cause: ctx.Err()}
	}
	fs.step <- struct{}{}
	return nil
}

func (fs *faultyStore) get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	if err := fs.lock(ctx); err != nil {
		return objectstore.Object{}, err
	}
	defer func() { <-fs.step }()
	if fs.fails() {
		return objectstore.Object{}, &objectstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	if fs.value == nil {
		return objectstore.Object{}, &objectstore.NotFoundError{Kind: kind, Name: name}
	}
	return objectstore.Object{Name: name, Version: fs.version, Value: fs.value}, nil
}

// write applies a conditional write, or not, and answers, or not.
func (fs *faultyStore) write(ctx context.Context, name string, want int64, value []byte) (int64, error) {
	if err := fs.lock(ctx); err != nil {
		return 0, err
	}
	defer func() { <-fs.step }()
	if fs.fails() {
		return 0, &objectstore.UnknownError{Cause: context.DeadlineExceeded}
	}
	have := fs.version
	if fs.value == nil {
		have = 0
	}
	if have != want {
		return 0, &objectstore.ConflictError{Kind: objectstore.KindClaims, Name: name}
	}
	fs.version++
	fs.value = value
	if fs.fails() {
		return 0, &objectstore.UnknownError{Cause: context.DeadlineExceeded}
	}
	return fs.version, nil
}

func (fs *faultyStore) store() Store {
	return Store{
		Get: fs.get,
		Create: func(ctx context.Context, _, name string, value any) (int64, error) {
			b, _ := json.Marshal(value)
			return fs.write(ctx, name, 0, b)
		},
		Update: func(ctx context.Context, _, name string, version int64, value any) (int64, error) {
			b, _ := json.Marshal(value)
			return fs.write(ctx, name, version, b)
		},
		Delete: func(ctx context.Context, _, name string, version int64) error {
			_, err := fs.write(ctx, name, version, nil)
			return err
		},
	}
}

// TestKeyRunsAtMostOnceOverManySeeds has three instances asked with one key, again and again, while the store fails in a
// third of all calls and instances die before or after the run.
func TestKeyRunsAtMostOnceOverManySeeds(t *testing.T) {
	const seeds, instances = 1500, 3
	var ran, replayed, refused atomic.Int64
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			fs := &faultyStore{rnd: rand.New(rand.NewPCG(seed, 1)), step: make(chan struct{}, 1), faults: 0.33}
			wo := &world{dead: map[string]bool{}}
			var wg sync.WaitGroup
			for i := range instances {
				holder := fmt.Sprintf("inst-%d", i)
				wg.Go(func() {
					replays, refusals := askRepeatedly(t, fs, wo, New(fs.store(), holder, wo.alive), holder)
					replayed.Add(replays)
					refused.Add(refusals)
				})
			}
			wg.Wait()
			if wo.ran() > 1 {
				t.Errorf("seed %d: ran %d times", seed, wo.ran())
			}
			ran.Add(int64(wo.ran()))
		})
	}
	g := NewWithT(t)
	g.Expect(ran.Load()).To(BeNumerically(">", seeds/2), "the test runs requests at all")
	g.Expect(replayed.Load()).To(BeNumerically(">", 0))
	g.Expect(refused.Load()).To(BeNumerically(">", 0))
	t.Logf("%d seeds: %d ran, %d replays, %d refusals", seeds, ran.Load(), replayed.Load(), refused.Load())
}

// askRepeatedly asks with one key until the instance dies, and returns how often it got the recorded answer and how
// often it was refused.
func askRepeatedly(t *testing.T, fs *faultyStore, wo *world, cs *Claimer, holder string) (replays, refusals int64) {
	const asks = 3
	for range asks {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		cl, ans, err := cs.Acquire(ctx, "key", []byte("body"))
		cancel()
		var fe *failure.Error
		switch {
		case cl != nil:
			dies := fs.draw(6) == 0
			if dies {
				wo.kill(holder)
			}
			if dies && fs.draw(2) == 0 {
				return replays, refusals
			}
			wo.run()
			if dies {
				return replays, refusals
			}
			cl.Complete(t.Context(), Response{Status: 200, Body: []byte("done")})
		case ans != nil:
			replays++
			if string(ans.Body) != "done" || wo.ran() != 1 {
				t.Errorf("replayed %q after %d runs", ans.Body, wo.ran())
			}
		case !errors.As(err, &fe):
			t.Errorf("no failure: %v", err)
		default:
			refusals++
		}
	}
	return replays, refusals
}
