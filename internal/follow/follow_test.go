package follow_test

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/follow"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
)

const (
	kind = "things"
	// silence is how long a watch waits.
	silence = 1500 * time.Millisecond
	// travel is how long a call takes besides.
	travel = 10 * time.Millisecond
)

// fakeStore answers calls with what a test has set.
type fakeStore struct {
	mu sync.Mutex
	// era rises with each return from a copy, version with each change; items holds the present values by name.
	era, version int64
	items        map[string]string
	changes      []objectstore.Object
	// floor is the version before which history is gone.
	floor int64
	// down is what all calls fail with; nil when the store is well.
	down error
	// lists and watches hold the times of the calls.
	lists, watches []time.Time
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]string{}} }

// put changes an object; an empty value removes it.
func (fs *fakeStore) put(name, value string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.version++
	ob := objectstore.Object{Name: name, Version: fs.version}
	delete(fs.items, name)
	if value != "" {
		fs.items[name] = value
		ob.Value = json.RawMessage(value)
	}
	fs.changes = append(fs.changes, ob)
}

func (fs *fakeStore) set(edit func()) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	edit()
}

func (fs *fakeStore) list(_ context.Context, _ string) (objectstore.Listing, error) {
	fs.mu.Lock()
	fs.lists = append(fs.lists, time.Now())
	fs.mu.Unlock()
	time.Sleep(travel)
	fs.mu.Lock()
	defer fs.mu.Unlock()
	l := objectstore.Listing{Era: fs.era, Version: fs.version}
	for name, value := range fs.items {
		l.Items = append(l.Items, objectstore.Object{Name: name, Version: fs.version, Value: json.RawMessage(value)})
	}
	return l, fs.down
}

func (fs *fakeStore) watch(ctx context.Context, _ string, since position.Position, wait time.Duration) (objectstore.Listing, error) {
	fs.mu.Lock()
	fs.watches = append(fs.watches, time.Now())
	fs.mu.Unlock()
	over := time.Now().Add(wait)
	for {
		l, done, err := fs.since(since.Revision)
		if done || err != nil || !time.Now().Before(over) {
			return l, err
		}
		time.Sleep(travel)
		if ctx.Err() != nil {
			return l, ctx.Err()
		}
	}
}

func (fs *fakeStore) since(since int64) (l objectstore.Listing, found bool, err error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down != nil {
		return l, false, fs.down
	}
	if since < fs.floor || since > fs.version {
		return l, false, &objectstore.HistoryGoneError{Kind: kind}
	}
	l.Era, l.Version = fs.era, fs.version
	for _, ob := range fs.changes {
		if ob.Version > since {
			l.Items = append(l.Items, ob)
		}
	}
	return l, len(l.Items) > 0, nil
}

// copyOf is what a follower has made of the store.
type copyOf struct {
	store *fakeStore
	log   *memory.Handler

	mu sync.Mutex
	view
}

// view is the state of a copy.
type view struct {
	items    map[string]string
	evidence time.Time
	replaced int
	troubles int
	// ahead is set when evidence was later than the call that gave it.
	ahead bool
}

// now returns the state of the copy.
func (cp *copyOf) now() view {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	vw := cp.view
	vw.items = maps.Clone(cp.items)
	return vw
}

// newCopy runs a follower inside a synctest bubble until the test ends.
func newCopy(t *testing.T, fs *fakeStore, opts ...func(*follow.ListWatcher)) *copyOf {
	t.Helper()
	cp := &copyOf{store: fs, log: memory.New(), view: view{items: map[string]string{}}}
	fo := &follow.ListWatcher{
		Store: follow.Store{List: fs.list, Watch: fs.watch}, Kind: kind, WatchTimeout: func() time.Duration { return silence },
		Replace: cp.replace, Apply: cp.change, Confirm: cp.confirm,
		OnFailure: func(error) { cp.mu.Lock(); defer cp.mu.Unlock(); cp.troubles++ },
		Log:       &log.Logger{Handler: cp.log, Level: log.DebugLevel},
	}
	for _, o := range opts {
		o(fo)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		fo.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return cp
}

func (cp *copyOf) replace(items []objectstore.Object, evidence time.Time) {
	cp.mu.Lock()
	cp.replaced++
	cp.items = map[string]string{}
	cp.mu.Unlock()
	for _, it := range items {
		cp.change(it, evidence)
	}
}

func (cp *copyOf) change(it objectstore.Object, evidence time.Time) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.check(evidence)
	if len(it.Value) == 0 {
		delete(cp.items, it.Name)
		return
	}
	cp.items[it.Name] = string(it.Value)
}

func (cp *copyOf) confirm(evidence time.Time, _ position.Position) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.check(evidence)
	cp.evidence = evidence
}

// check compares evidence with the start of the newest call. The lock is held.
func (cp *copyOf) check(evidence time.Time) {
	cp.store.mu.Lock()
	defer cp.store.mu.Unlock()
	newest := time.Time{}
	for _, calls := range [][]time.Time{cp.store.lists, cp.store.watches} {
		if len(calls) > 0 && calls[len(calls)-1].After(newest) {
			newest = calls[len(calls)-1]
		}
	}
	cp.ahead = cp.ahead || evidence.After(newest)
}

func (cp *copyOf) lines() []string {
	var all []string
	for _, en := range cp.log.Entries {
		all = append(all, en.Message)
	}
	return all
}

// bubble runs a test with a fake clock.
func bubble(t *testing.T, run func(t *testing.T, g *WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(t, NewWithT(t)) })
}

// pass lets time go by and waits until all is at rest.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestListThenChanges(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		cp := newCopy(t, fs)
		pass(2 * travel)
		g.Expect(cp.now().items).To(Equal(map[string]string{"a": `1`}))
		fs.put("b", `2`)
		fs.put("a", "")
		pass(2 * travel)
		g.Expect(cp.now().items).To(Equal(map[string]string{"b": `2`}))
		g.Expect(cp.now().replaced).To(Equal(1))
		g.Expect(cp.now().troubles).To(BeZero())
		g.Expect(cp.now().ahead).To(BeFalse())
	})
}

func TestSilentWatchesConfirm(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		cp := newCopy(t, fs)
		for range 20 {
			pass(silence)
			g.Expect(time.Since(cp.now().evidence)).To(BeNumerically("<=", 2*silence+4*travel))
		}
		g.Expect(cp.now().ahead).To(BeFalse())
		g.Expect(fs.lists).To(HaveLen(1))
	})
}

// TestEvidenceIsFromBeforeTheQuestion changes the store while a call is under way.
func TestEvidenceIsFromBeforeTheQuestion(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		began := time.Now()
		cp := newCopy(t, fs)
		pass(travel)
		g.Expect(cp.now().evidence).To(Equal(began))
		pass(silence / 2)
		g.Expect(cp.now().evidence).To(Equal(began), "a watch that waits proves nothing yet")
	})
}

func TestHistoryGoneListsAgainAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		cp := newCopy(t, fs)
		pass(2 * travel)
		fs.put("a", "")
		fs.put("b", `2`)
		fs.set(func() { fs.floor = fs.version })
		pass(4 * travel)
		g.Expect(cp.now().items).To(Equal(map[string]string{"b": `2`}))
		g.Expect(cp.now().replaced).To(Equal(2))
		g.Expect(cp.now().troubles).To(BeZero())
		g.Expect(cp.lines()).To(Equal([]string{"history gone, listing again"}))
	})
}

func TestTroubleAndBack(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		cp := newCopy(t, fs)
		pass(2 * travel)
		before := cp.now().evidence
		fs.set(func() { fs.down = &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}} })
		pass(time.Minute)
		g.Expect(cp.now().evidence).To(Equal(before))
		g.Expect(cp.now().items).To(Equal(map[string]string{"a": `1`}), "trouble takes nothing away")
		g.Expect(cp.now().troubles).To(BeNumerically(">", 30), "tries become too rare")
		g.Expect(cp.now().troubles).To(BeNumerically("<", 200), "tries are too many")
		g.Expect(cp.lines()).To(Equal([]string{"lost the store"}))

		fs.put("a", "")
		fs.put("b", `2`)
		fs.set(func() { fs.down = nil })
		pass(2 * time.Second)
		g.Expect(cp.now().items).To(Equal(map[string]string{"b": `2`}))
		g.Expect(cp.now().evidence.After(before)).To(BeTrue())
		g.Expect(cp.lines()).To(Equal([]string{"lost the store", "regained the store"}))
		g.Expect(cp.now().ahead).To(BeFalse())
	})
}

// TestHistoryThatStaysGoneIsNoBusyLoop lets the store forget each change at once, so that no watch finds its version.
func TestHistoryThatStaysGoneIsNoBusyLoop(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.floor = 1 << 40
		newCopy(t, fs)
		pass(10 * time.Second)
		fs.mu.Lock()
		defer fs.mu.Unlock()
		g.Expect(len(fs.lists)).To(BeNumerically(">", 5), "tries become too rare")
		g.Expect(len(fs.lists)).To(BeNumerically("<", 200), "lists follow each other without a pause")
	})
}

// TestFollowerThatRestsAsksNothing lets others tell for a while.
func TestFollowerThatRestsAsksNothing(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		var resting atomic.Bool
		resting.Store(true)
		cp := newCopy(t, fs, func(fo *follow.ListWatcher) { fo.Suspended = resting.Load })
		pass(time.Minute)
		g.Expect(cp.now().replaced).To(BeZero())
		resting.Store(false)
		pass(time.Second)
		g.Expect(cp.now().items).To(Equal(map[string]string{"a": `1`}))
	})
}

// TestPauseAfterNews lets changes come one after another; after a pause one answer holds them all.
// TestAfterALongRestTheListIsAskedFor: the store has forgotten what changed since, so a watch would be a call in vain.
func TestAfterALongRestTheListIsAskedFor(t *testing.T) {
	tests := map[string]struct {
		rest           time.Duration
		lists, watches int
	}{
		"short": {rest: 5 * time.Second, lists: 1, watches: 1},
		"long":  {rest: 15 * time.Second, lists: 2, watches: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, g *WithT) {
				fs := newFakeStore()
				var began time.Time
				cp := newCopy(t, fs, func(fo *follow.ListWatcher) {
					fo.Suspended = func() bool { return !began.IsZero() && time.Since(began) < tc.rest }
					fo.Pause = func(bool) time.Duration {
						began = time.Now()
						return 0
					}
				})
				pass(tc.rest - time.Second)
				fs.put("a", "1")
				pass(time.Second + restStepAndCall)
				g.Expect(cp.now().items).To(HaveKey("a"))
				fs.set(func() {
					g.Expect(fs.lists).To(HaveLen(tc.lists))
					g.Expect(fs.watches).To(HaveLen(tc.watches))
				})
			})
		})
	}
}

// restStepAndCall is how long it takes at most until a follower that no longer rests has its answer.
const restStepAndCall = 200 * time.Millisecond

func TestPauseAfterNews(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `0`)
		cp := newCopy(t, fs, func(fo *follow.ListWatcher) {
			fo.Pause = func(news bool) time.Duration {
				if news {
					return time.Second
				}
				return 0
			}
		})
		pass(5 * time.Second)
		before := len(fs.watches)
		for range 100 {
			fs.put("a", `1`)
			pass(100 * time.Millisecond)
		}
		fs.put("a", `2`)
		pass(time.Second + 2*travel)
		g.Expect(cp.now().items).To(Equal(map[string]string{"a": `2`}))
		g.Expect(len(fs.watches) - before).To(BeNumerically("~", 10, 2))
	})
}

// TestOthersTellThatTheStoreIsBack ends a long pause.
func TestOthersTellThatTheStoreIsBack(t *testing.T) {
	bubble(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		var newest atomic.Int64
		cp := newCopy(t, fs, func(fo *follow.ListWatcher) {
			fo.Backoff = func() (least, most time.Duration) { return time.Second, time.Hour }
			fo.NewestReported = newest.Load
		})
		pass(2 * travel)
		fs.set(func() { fs.down = &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}} })
		pass(10 * time.Minute)
		g.Expect(cp.now().troubles).To(BeNumerically("<", 14), "pauses become longer")
		fs.put("a", `2`)
		fs.set(func() { fs.down = nil })
		newest.Store(2)
		pass(time.Second)
		g.Expect(cp.now().items).To(Equal(map[string]string{"a": `2`}))
	})
}
