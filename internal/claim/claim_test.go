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

// faultyStore holds one claim object. Its reads and writes may fail, and its writes may take effect although the response is lost.
type faultyStore struct {
	mu  sync.Mutex
	rnd *rand.Rand
	// sem serialises the calls.
	sem     chan struct{}
	version int64
	value   []byte
	// faultRate is the probability of a fault at each point where one may be injected.
	faultRate float64
}

func (fs *faultyStore) intN(n int) int {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.rnd.IntN(n)
}

func (fs *faultyStore) injectFault() bool { return float64(fs.intN(100)) < 100*fs.faultRate }

// groundTruth records which instances died and how often the request ran.
type groundTruth struct {
	mu   sync.Mutex
	dead map[string]bool
	runs int
}

func (gt *groundTruth) isLive(holder string) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return !gt.dead[holder]
}

func (gt *groundTruth) kill(holder string) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.dead[holder] = true
}

func (gt *groundTruth) recordRun() {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.runs++
}

func (gt *groundTruth) runCount() int {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.runs
}

// begin waits a random time for the network and then for other calls to end. It fails if ctx ends during the first wait.
func (fs *faultyStore) begin(ctx context.Context) error {
	time.Sleep(time.Duration(fs.intN(20)) * time.Millisecond)
	if ctx.Err() != nil {
		return &objectstore.UnavailableError{Cause: ctx.Err()}
	}
	fs.sem <- struct{}{}
	return nil
}

func (fs *faultyStore) get(ctx context.Context, kind, name string) (objectstore.Object, error) {
	if err := fs.begin(ctx); err != nil {
		return objectstore.Object{}, err
	}
	defer func() { <-fs.sem }()
	if fs.injectFault() {
		return objectstore.Object{}, &objectstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	if fs.value == nil {
		return objectstore.Object{}, &objectstore.NotFoundError{Kind: kind, Name: name}
	}
	return objectstore.Object{Name: name, Version: fs.version, Value: fs.value}, nil
}

// write makes a conditional write. An injected fault makes it fail before or after it takes effect.
func (fs *faultyStore) write(ctx context.Context, name string, want int64, value []byte) (int64, error) {
	if err := fs.begin(ctx); err != nil {
		return 0, err
	}
	defer func() { <-fs.sem }()
	if fs.injectFault() {
		return 0, &objectstore.UnknownOutcomeError{Cause: context.DeadlineExceeded}
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
	if fs.injectFault() {
		return 0, &objectstore.UnknownOutcomeError{Cause: context.DeadlineExceeded}
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

// TestIdempotencyKeyRunsAtMostOnceUnderFaults guards against a request that runs twice. Three instances repeatedly receive a
// request with the same key, while store operations fail with a probability of a third and instances die before or after the run.
func TestIdempotencyKeyRunsAtMostOnceUnderFaults(t *testing.T) {
	const seeds, instances = 1500, 3
	var ran, replayed, refused atomic.Int64
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			fs := &faultyStore{rnd: rand.New(rand.NewPCG(seed, 1)), sem: make(chan struct{}, 1), faultRate: 0.33}
			gt := &groundTruth{dead: map[string]bool{}}
			var wg sync.WaitGroup
			for i := range instances {
				holder := fmt.Sprintf("inst-%d", i)
				wg.Go(func() {
					replays, refusals := claimRepeatedly(t, fs, gt, New(fs.store(), holder, gt.isLive), holder)
					replayed.Add(replays)
					refused.Add(refusals)
				})
			}
			wg.Wait()
			if gt.runCount() > 1 {
				t.Errorf("seed %d: ran %d times", seed, gt.runCount())
			}
			ran.Add(int64(gt.runCount()))
		})
	}
	g := NewWithT(t)
	g.Expect(ran.Load()).To(BeNumerically(">", seeds/2), "more than half of the seeds run the request")
	g.Expect(replayed.Load()).To(BeNumerically(">", 0))
	g.Expect(refused.Load()).To(BeNumerically(">", 0))
	t.Logf("%d seeds: %d ran, %d replays, %d refusals", seeds, ran.Load(), replayed.Load(), refused.Load())
}

// claimRepeatedly makes up to three requests with the same key until the instance dies. It returns how many got the recorded
// response and how many were refused.
func claimRepeatedly(t *testing.T, fs *faultyStore, gt *groundTruth, cm *Claimer, holder string) (replays, refusals int64) {
	const attempts = 3
	for range attempts {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		cl, resp, err := cm.Acquire(ctx, "key", []byte("body"))
		cancel()
		var fe *failure.Error
		switch {
		case cl != nil:
			dies := fs.intN(6) == 0
			if dies {
				gt.kill(holder)
			}
			if dies && fs.intN(2) == 0 {
				return replays, refusals
			}
			gt.recordRun()
			if dies {
				return replays, refusals
			}
			cl.Complete(t.Context(), Response{Status: 200, Body: []byte("done")})
		case resp != nil:
			replays++
			if string(resp.Body) != "done" || gt.runCount() != 1 {
				t.Errorf("replayed %q after %d runs", resp.Body, gt.runCount())
			}
		case !errors.As(err, &fe):
			t.Errorf("error is not a failure.Error: %v", err)
		default:
			refusals++
		}
	}
	return replays, refusals
}
