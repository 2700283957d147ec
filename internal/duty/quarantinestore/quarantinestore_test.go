package quarantinestore

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/adapter"
	"github.com/silvermount/silvermount/internal/fingerprint"
	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/quarantine"
)

// fakeStore is a store in memory that fails some of the next calls.
type fakeStore struct {
	mu       sync.Mutex
	objects  map[string]json.RawMessage
	failures int
	calls    int
}

func (fs *fakeStore) call() error {
	fs.calls++
	if fs.failures > 0 {
		fs.failures--
		return &objectstore.UnavailableError{Cause: &objectstore.StatusError{Status: 503}}
	}
	return nil
}

func (fs *fakeStore) records() adapter.Records {
	return adapter.Records{
		List: func(context.Context, string) (objectstore.Listing, error) {
			fs.mu.Lock()
			defer fs.mu.Unlock()
			var l objectstore.Listing
			for name, value := range fs.objects {
				l.Items = append(l.Items, objectstore.Object{Name: name, Value: value})
			}
			return l, fs.call()
		},
		Put: func(_ context.Context, _, name string, value json.RawMessage) error {
			fs.mu.Lock()
			defer fs.mu.Unlock()
			err := fs.call()
			if err == nil {
				fs.objects[name] = value
			}
			return err
		},
		Remove: func(_ context.Context, _, name string) error {
			fs.mu.Lock()
			defer fs.mu.Unlock()
			err := fs.call()
			if err == nil {
				delete(fs.objects, name)
			}
			return err
		},
	}
}

func newKeeper(fs *fakeStore) *keeper {
	lg := &log.Logger{Handler: memory.New()}
	return &keeper{
		records: fs.records(), kind: "quarantines", now: time.Now, lg: lg, latest: map[string]quarantine.Change{}, due: make(chan string),
		sleep: func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil },
		tracker: quarantine.New(quarantine.Options{
			Now: time.Now, TargetCount: func() int { return 1 }, Crashed: func(string) bool { return false }, NotifyPeers: func() {},
			Metrics: metrics.NewSet(), Log: lg,
		}),
	}
}

func newQuarantine(part string, until time.Duration) quarantine.Quarantine {
	now := time.Now()
	return quarantine.Quarantine{
		Members: []fingerprint.Fingerprint{fingerprint.OfPart(part)}, Crashes: 5, Level: 1,
		EvidenceFrom: now.Add(-2 * time.Second), Since: now.Add(-time.Second), Until: now.Add(until),
	}
}

func TestChangesAreWrittenByFewInstances(t *testing.T) {
	cases := map[string]struct {
		rank     float64
		ended    bool
		failures int
		// wantObject is set if the object is there afterwards, which it was before if the quarantine has ended.
		wantObject bool
	}{
		"among the first writers":   {0, false, 0, true},
		"among the later writers":   {firstWriters, false, 0, false},
		"not among the writers":     {writers, false, 0, false},
		"store fails for a while":   {0, false, maxWrites - 1, true},
		"store fails for long":      {0, false, maxWrites, false},
		"ended":                     {0, true, 0, false},
		"ended, not by this writer": {writers, true, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fs := &fakeStore{objects: map[string]json.RawMessage{}, failures: tc.failures}
			qu := newQuarantine("bad", time.Minute)
			if tc.ended {
				fs.objects[qu.RecordName()] = nil
			}
			newKeeper(fs).schedule(t.Context(), quarantine.Change{Quarantine: qu, Ended: tc.ended, Rank: tc.rank})
			_, there := fs.objects[qu.RecordName()]
			g.Expect(there).To(Equal(tc.wantObject))
		})
	}
}

// TestDelayedWriteIsOfTheNewestChange delays the write of a quarantine that ends before.
func TestDelayedWriteIsOfTheNewestChange(t *testing.T) {
	g := NewWithT(t)
	fs := &fakeStore{objects: map[string]json.RawMessage{}}
	kp := newKeeper(fs)
	qu := newQuarantine("bad", time.Minute)
	kp.schedule(t.Context(), quarantine.Change{Quarantine: qu, Rank: firstWriters})
	kp.schedule(t.Context(), quarantine.Change{Quarantine: qu, Ended: true, Rank: firstWriters})
	kp.writeLatest(t.Context(), qu.RecordName())
	kp.writeLatest(t.Context(), qu.RecordName())
	g.Expect(fs.calls).To(Equal(1))
	g.Expect(fs.objects).To(BeEmpty())
}

// TestQuarantinesAreReadAtTheStart reads quarantines of which one cannot be decoded and one ended long ago.
func TestQuarantinesAreReadAtTheStart(t *testing.T) {
	g := NewWithT(t)
	fs := &fakeStore{objects: map[string]json.RawMessage{"broken": json.RawMessage(`{}`)}, failures: 3}
	active, expired := newQuarantine("bad", time.Minute), newQuarantine("old", -24*time.Hour)
	for _, qu := range []quarantine.Quarantine{active, expired} {
		b, err := qu.EncodeRecord()
		g.Expect(err).NotTo(HaveOccurred())
		fs.objects[qu.RecordName()] = b
	}
	kp := newKeeper(fs)
	kp.read(t.Context())
	list := kp.tracker.Quarantines()
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Members).To(Equal(active.Members))
	g.Expect(list[0].Until).To(BeTemporally("~", active.Until, time.Second))
	g.Expect(fs.objects).To(HaveLen(2))
	g.Expect(fs.objects).NotTo(HaveKey(expired.RecordName()))
}
