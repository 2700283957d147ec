package listwatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/listwatch"
)

// restore restores the store from an older copy in which some objects may have been written again, so that revisions are assigned a
// second time.
func (fs *fakeStore) restore(items map[string]string, version int64) {
	fs.edit(func() {
		fs.era++
		fs.items, fs.changes, fs.version = items, nil, version
	})
}

// TestListsAgainAfterStoreRestore guards against missed changes after a restore. The store is restored from a copy and written to
// until it passes the revision that a client watches from. The watch then returns only the changes after that revision, and the
// client misses the different changes up to it.
func TestListsAgainAfterStoreRestore(t *testing.T) {
	tests := map[string]struct {
		items   map[string]string
		version int64
	}{
		"revision after the watched one":    {map[string]string{"a": "1", "c": "written again"}, 7},
		"revision equal to the watched one": {map[string]string{"a": "1", "c": "written again"}, 4},
		"revision before the watched one":   {map[string]string{"a": "1"}, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fs := newFakeStore()
				fs.put("a", "1")
				fs.put("b", "1")
				fs.put("b", "2")
				fs.put("c", "1")
				restores := 0
				rp := startReplica(t, fs, func(lw *listwatch.ListWatcher) {
					lw.RelistDelay, lw.OnRestore = 5*time.Second, func(int64, time.Time) { restores++ }
				})
				time.Sleep(3 * time.Second)
				fs.restore(tc.items, tc.version)
				time.Sleep(2 * watchTimeout)
				g.Expect(rp.state().items).To(Equal(tc.items))
				g.Expect(restores).To(Equal(1))
				time.Sleep(10 * time.Second)
				g.Expect(rp.state().lists).To(Equal(3), "the first list, one after the restore, and one after RelistDelay")
			})
		})
	}
}

func TestListsAgainAfterSecondRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fs := newFakeStore()
		fs.put("a", "1")
		restores := 0
		rp := startReplica(t, fs, func(lw *listwatch.ListWatcher) { lw.OnRestore = func(int64, time.Time) { restores++ } })
		time.Sleep(time.Second)
		fs.restore(map[string]string{"a": "2"}, 1)
		time.Sleep(2 * watchTimeout)
		fs.restore(map[string]string{"a": "3"}, 1)
		time.Sleep(2 * watchTimeout)
		g.Expect(rp.state().items).To(Equal(map[string]string{"a": "3"}))
		g.Expect(restores).To(Equal(2))
	})
}
