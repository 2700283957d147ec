package listwatch_test

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

	"github.com/silvermount/silvermount/internal/listwatch"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/position"
)

const (
	kind = "things"
	// watchTimeout is how long a watch waits for changes.
	watchTimeout = 1500 * time.Millisecond
	// callLatency is the latency of a call, in addition to the time that a watch waits.
	callLatency = 10 * time.Millisecond
)

// fakeStore is an in-memory store whose contents and failures are set by the test.
type fakeStore struct {
	mu sync.Mutex
	// era increases with each restore from an older copy, version with each change. items holds the current values by name.
	era, version int64
	items        map[string]string
	changes      []objectstore.Object
	// oldestRevision is the oldest revision that a watch can start from.
	oldestRevision int64
	// failure is the error of all calls; nil if they succeed.
	failure error
	// nextResults are the errors of the next calls, in order; nil for a call that succeeds.
	nextResults []error
	// listTimes and watchTimes hold when the calls were made.
	listTimes, watchTimes []time.Time
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]string{}} }

// put writes an object, or removes it if value is empty.
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

func (fs *fakeStore) edit(f func()) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f()
}

// takeNextResult returns the error of a call according to nextResults.
func (fs *fakeStore) takeNextResult() error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if len(fs.nextResults) == 0 {
		return nil
	}
	err := fs.nextResults[0]
	fs.nextResults = fs.nextResults[1:]
	return err
}

func (fs *fakeStore) list(_ context.Context, _ string) (objectstore.Listing, error) {
	fs.mu.Lock()
	fs.listTimes = append(fs.listTimes, time.Now())
	fs.mu.Unlock()
	if err := fs.takeNextResult(); err != nil {
		return objectstore.Listing{}, err
	}
	time.Sleep(callLatency)
	fs.mu.Lock()
	defer fs.mu.Unlock()
	l := objectstore.Listing{Era: fs.era, Version: fs.version}
	for name, value := range fs.items {
		l.Items = append(l.Items, objectstore.Object{Name: name, Version: fs.version, Value: json.RawMessage(value)})
	}
	return l, fs.failure
}

func (fs *fakeStore) watch(ctx context.Context, _ string, since position.Position, wait time.Duration) (objectstore.Listing, error) {
	fs.mu.Lock()
	fs.watchTimes = append(fs.watchTimes, time.Now())
	fs.mu.Unlock()
	if err := fs.takeNextResult(); err != nil {
		return objectstore.Listing{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		l, done, err := fs.changesSince(since.Revision)
		if done || err != nil || !time.Now().Before(deadline) {
			return l, err
		}
		time.Sleep(callLatency)
		if ctx.Err() != nil {
			return l, ctx.Err()
		}
	}
}

func (fs *fakeStore) changesSince(since int64) (l objectstore.Listing, found bool, err error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.failure != nil {
		return l, false, fs.failure
	}
	if since < fs.oldestRevision || since > fs.version {
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

// replica is the copy of a fakeStore that a ListWatcher keeps up to date.
type replica struct {
	store *fakeStore
	log   *memory.Handler

	mu sync.Mutex
	replicaState
}

// replicaState is the state of a replica that tests check.
type replicaState struct {
	items map[string]string
	asOf  time.Time
	lists int
	// failures and connectionsLost count the calls of OnFailure and OnConnectionLost.
	failures, connectionsLost int
	// asOfTooLate is set if an asOf time was later than the start of the call that it belongs to.
	asOfTooLate bool
}

// state returns a copy of the current state.
func (rp *replica) state() replicaState {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	st := rp.replicaState
	st.items = maps.Clone(rp.items)
	return st
}

// startReplica runs a ListWatcher inside a synctest bubble until the test ends.
func startReplica(t *testing.T, fs *fakeStore, opts ...func(*listwatch.ListWatcher)) *replica {
	t.Helper()
	rp := &replica{store: fs, log: memory.New(), replicaState: replicaState{items: map[string]string{}}}
	lw := &listwatch.ListWatcher{
		Store: listwatch.Store{List: fs.list, Watch: fs.watch}, Kind: kind, WatchTimeout: func() time.Duration { return watchTimeout },
		Replace: rp.replace, Apply: rp.apply, Confirm: rp.confirm,
		OnFailure:        func(error) { rp.mu.Lock(); defer rp.mu.Unlock(); rp.failures++ },
		OnConnectionLost: func(error) { rp.mu.Lock(); defer rp.mu.Unlock(); rp.connectionsLost++ },
		Log:              &log.Logger{Handler: rp.log, Level: log.DebugLevel},
	}
	for _, o := range opts {
		o(lw)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		lw.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return rp
}

func (rp *replica) replace(items []objectstore.Object, asOf time.Time) {
	rp.mu.Lock()
	rp.lists++
	rp.items = map[string]string{}
	rp.mu.Unlock()
	for _, it := range items {
		rp.apply(it, asOf)
	}
}

func (rp *replica) apply(it objectstore.Object, asOf time.Time) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.checkAsOf(asOf)
	if len(it.Value) == 0 {
		delete(rp.items, it.Name)
		return
	}
	rp.items[it.Name] = string(it.Value)
}

func (rp *replica) confirm(asOf time.Time, _ position.Position) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.checkAsOf(asOf)
	rp.asOf = asOf
}

// checkAsOf compares asOf with the start of the newest call. The caller holds rp.mu.
func (rp *replica) checkAsOf(asOf time.Time) {
	rp.store.mu.Lock()
	defer rp.store.mu.Unlock()
	newest := time.Time{}
	for _, calls := range [][]time.Time{rp.store.listTimes, rp.store.watchTimes} {
		if len(calls) > 0 && calls[len(calls)-1].After(newest) {
			newest = calls[len(calls)-1]
		}
	}
	rp.asOfTooLate = rp.asOfTooLate || asOf.After(newest)
}

func (rp *replica) logMessages() []string {
	var all []string
	for _, en := range rp.log.Entries {
		all = append(all, en.Message)
	}
	return all
}

// withFakeClock runs a test in a synctest bubble.
func withFakeClock(t *testing.T, run func(t *testing.T, g *WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(t, NewWithT(t)) })
}

// advance advances the fake clock and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestAppliesListThenChanges(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		rp := startReplica(t, fs)
		advance(2 * callLatency)
		g.Expect(rp.state().items).To(Equal(map[string]string{"a": `1`}))
		fs.put("b", `2`)
		fs.put("a", "")
		advance(2 * callLatency)
		g.Expect(rp.state().items).To(Equal(map[string]string{"b": `2`}))
		g.Expect(rp.state().lists).To(Equal(1))
		g.Expect(rp.state().failures).To(BeZero())
		g.Expect(rp.state().asOfTooLate).To(BeFalse())
	})
}

func TestWatchesWithoutChangesConfirm(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		rp := startReplica(t, fs)
		for range 20 {
			advance(watchTimeout)
			g.Expect(time.Since(rp.state().asOf)).To(BeNumerically("<=", 2*watchTimeout+4*callLatency))
		}
		g.Expect(rp.state().asOfTooLate).To(BeFalse())
		g.Expect(fs.listTimes).To(HaveLen(1))
	})
}

// TestAsOfPrecedesTheRequest checks that asOf is when the request was sent, not when the response came: the store may change in
// between.
func TestAsOfPrecedesTheRequest(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		began := time.Now()
		rp := startReplica(t, fs)
		advance(callLatency)
		g.Expect(rp.state().asOf).To(Equal(began))
		advance(watchTimeout / 2)
		g.Expect(rp.state().asOf).To(Equal(began), "a pending watch confirms nothing yet")
	})
}

func TestListsAgainAtOnceWhenHistoryIsGone(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		rp := startReplica(t, fs)
		advance(2 * callLatency)
		fs.put("a", "")
		fs.put("b", `2`)
		fs.edit(func() { fs.oldestRevision = fs.version })
		advance(4 * callLatency)
		g.Expect(rp.state().items).To(Equal(map[string]string{"b": `2`}))
		g.Expect(rp.state().lists).To(Equal(2))
		g.Expect(rp.state().failures).To(BeZero())
		g.Expect(rp.logMessages()).To(Equal([]string{"change history has expired in the store, listing again"}))
	})
}

func TestRecoversAfterStoreOutage(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		rp := startReplica(t, fs)
		advance(2 * callLatency)
		before := rp.state().asOf
		fs.edit(func() { fs.failure = &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}} })
		advance(time.Minute)
		g.Expect(rp.state().asOf).To(Equal(before))
		g.Expect(rp.state().items).To(Equal(map[string]string{"a": `1`}), "a store failure removes nothing")
		g.Expect(rp.state().failures).To(BeNumerically(">", 30), "calls are too rare")
		g.Expect(rp.state().failures).To(BeNumerically("<", 200), "calls are too frequent")
		g.Expect(rp.logMessages()).To(Equal([]string{"lost the store"}))

		fs.put("a", "")
		fs.put("b", `2`)
		fs.edit(func() { fs.failure = nil })
		advance(2 * time.Second)
		g.Expect(rp.state().items).To(Equal(map[string]string{"b": `2`}))
		g.Expect(rp.state().asOf.After(before)).To(BeTrue())
		g.Expect(rp.logMessages()).To(Equal([]string{"lost the store", "regained the store"}))
		g.Expect(rp.state().asOfTooLate).To(BeFalse())
	})
}

// TestFailuresThatAreNoOutage guards against an outage of the store that is concluded from calls that fail although the store responds: a
// connection of this instance goes silent, a waiting watch is cut, or the history has expired.
func TestFailuresThatAreNoOutage(t *testing.T) {
	unavailable := &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}}
	lost := &objectstore.UnavailableError{Cause: &objectstore.ConnectionLostError{Cause: context.DeadlineExceeded}}
	gone := &objectstore.HistoryGoneError{Kind: kind}
	tests := map[string]struct {
		// results are the errors of the calls that follow the first list.
		results                   []error
		failures, connectionsLost int
		// atOnce is set if the changes are known without a back-off.
		atOnce bool
	}{
		"watch interrupted":                            {[]error{lost}, 0, 1, false},
		"each watch interrupted":                       {[]error{lost, nil, lost, nil, lost}, 0, 3, false},
		"watch and list interrupted":                   {[]error{lost, lost}, 1, 1, false},
		"watch, list and list interrupted":             {[]error{lost, lost, lost}, 2, 1, false},
		"watch interrupted, list refused":              {[]error{lost, unavailable}, 1, 1, false},
		"watch refused":                                {[]error{unavailable}, 1, 0, false},
		"watch refused, list interrupted":              {[]error{unavailable, lost}, 2, 0, false},
		"history gone":                                 {[]error{gone}, 0, 0, true},
		"history gone right after each list":           {[]error{gone, nil, gone, nil, gone}, 0, 0, false},
		"watch interrupted, history gone after a list": {[]error{lost, nil, gone}, 0, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, g *WithT) {
				fs := newFakeStore()
				rp := startReplica(t, fs)
				advance(2 * callLatency)
				fs.edit(func() { fs.nextResults = tc.results })
				advance(watchTimeout)
				fs.put("a", "1")
				advance(4 * callLatency)
				if tc.atOnce {
					g.Expect(rp.state().items).To(HaveKey("a"))
				}
				advance(time.Minute)
				g.Expect(rp.state().items).To(HaveKey("a"))
				g.Expect(rp.state().failures).To(Equal(tc.failures))
				g.Expect(rp.state().connectionsLost).To(Equal(tc.connectionsLost))
			})
		})
	}
}

// TestBacksOffWhileConnectionsAreLost guards against a busy loop of lists and watches when the store interrupts every watch, or all calls.
func TestBacksOffWhileConnectionsAreLost(t *testing.T) {
	lost := &objectstore.UnavailableError{Cause: &objectstore.ConnectionLostError{Cause: context.DeadlineExceeded}}
	// A list, a watch and the longest back-off take 0.8 s on average.
	const maxLists = 20
	for name, result := range map[string][]error{"every watch": {nil, lost}, "all calls": {lost, lost}} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, g *WithT) {
				fs := newFakeStore()
				for range 1000 {
					fs.nextResults = append(fs.nextResults, result...)
				}
				startReplica(t, fs)
				advance(10 * time.Second)
				fs.edit(func() {
					g.Expect(len(fs.listTimes)).To(BeNumerically(">", 5), "calls are too rare")
					g.Expect(len(fs.listTimes)).To(BeNumerically("<", maxLists), "the back-off does not grow")
				})
			})
		})
	}
}

// TestBacksOffWhileHistoryStaysGone guards against a busy loop of lists and watches. The store discards its history at once, so that
// each watch fails with a HistoryGoneError.
func TestBacksOffWhileHistoryStaysGone(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.oldestRevision = 1 << 40
		startReplica(t, fs)
		advance(10 * time.Second)
		fs.mu.Lock()
		defer fs.mu.Unlock()
		g.Expect(len(fs.listTimes)).To(BeNumerically(">", 5), "calls are too rare")
		g.Expect(len(fs.listTimes)).To(BeNumerically("<", 200), "lists without back-off")
	})
}

func TestMakesNoCallsWhileSuspended(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		var suspended atomic.Bool
		suspended.Store(true)
		rp := startReplica(t, fs, func(lw *listwatch.ListWatcher) { lw.Suspended = suspended.Load })
		advance(time.Minute)
		g.Expect(rp.state().lists).To(BeZero())
		suspended.Store(false)
		advance(time.Second)
		g.Expect(rp.state().items).To(Equal(map[string]string{"a": `1`}))
	})
}

// TestListsAfterLongSuspension checks that a list replaces the watch after a long suspension: the store has discarded the changes
// since then, so a watch would only fail.
func TestListsAfterLongSuspension(t *testing.T) {
	tests := map[string]struct {
		suspension     time.Duration
		lists, watches int
	}{
		"short": {suspension: 5 * time.Second, lists: 1, watches: 1},
		"long":  {suspension: 15 * time.Second, lists: 2, watches: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, g *WithT) {
				fs := newFakeStore()
				var began time.Time
				rp := startReplica(t, fs, func(lw *listwatch.ListWatcher) {
					lw.Suspended = func() bool { return !began.IsZero() && time.Since(began) < tc.suspension }
					lw.Pause = func(bool) time.Duration {
						began = time.Now()
						return 0
					}
				})
				advance(tc.suspension - time.Second)
				fs.put("a", "1")
				advance(time.Second + resumeLatency)
				g.Expect(rp.state().items).To(HaveKey("a"))
				fs.edit(func() {
					g.Expect(fs.listTimes).To(HaveLen(tc.lists))
					g.Expect(fs.watchTimes).To(HaveLen(tc.watches))
				})
			})
		})
	}
}

// resumeLatency is the maximum time from the end of a suspension to the response of the store.
const resumeLatency = 200 * time.Millisecond

// TestPauseAfterChangesBatchesThem checks that one response returns all changes made during the pause.
func TestPauseAfterChangesBatchesThem(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `0`)
		rp := startReplica(t, fs, func(lw *listwatch.ListWatcher) {
			lw.Pause = func(changed bool) time.Duration {
				if changed {
					return time.Second
				}
				return 0
			}
		})
		advance(5 * time.Second)
		before := len(fs.watchTimes)
		for range 100 {
			fs.put("a", `1`)
			advance(100 * time.Millisecond)
		}
		fs.put("a", `2`)
		advance(time.Second + 2*callLatency)
		g.Expect(rp.state().items).To(Equal(map[string]string{"a": `2`}))
		g.Expect(len(fs.watchTimes) - before).To(BeNumerically("~", 10, 2))
	})
}

// TestReportedChangeEndsBackoff checks that a change reported by another source ends a back-off of minutes.
func TestReportedChangeEndsBackoff(t *testing.T) {
	withFakeClock(t, func(t *testing.T, g *WithT) {
		fs := newFakeStore()
		fs.put("a", `1`)
		var newest atomic.Int64
		rp := startReplica(t, fs, func(lw *listwatch.ListWatcher) {
			lw.Backoff = func() (least, most time.Duration) { return time.Second, time.Hour }
			lw.NewestReported = newest.Load
		})
		advance(2 * callLatency)
		fs.edit(func() { fs.failure = &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}} })
		advance(10 * time.Minute)
		g.Expect(rp.state().failures).To(BeNumerically("<", 14), "the back-off grows")
		fs.put("a", `2`)
		fs.edit(func() { fs.failure = nil })
		newest.Store(2)
		advance(time.Second)
		g.Expect(rp.state().items).To(Equal(map[string]string{"a": `2`}))
	})
}
