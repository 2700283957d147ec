package follow_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/follow"
)

// restore lets a store come back from a copy, with some objects written again meanwhile: revisions are given out a second time.
func (fs *fakeStore) restore(copied map[string]string, version int64) {
	fs.set(func() {
		fs.era++
		fs.items, fs.changes, fs.version = copied, nil, version
	})
}

// TestRestoredStoreIsListedAgain.
//
// The store came back from a copy and was written to until it had passed the revision that a follower watched from. The watch was
// answered with what changed after that revision, and the follower never heard of what was written differently up to it.
func TestRestoredStoreIsListedAgain(t *testing.T) {
	tests := map[string]struct {
		copied  map[string]string
		version int64
	}{
		"which has passed the revision again": {map[string]string{"a": "1", "c": "written again"}, 7},
		"which is at the same revision again": {map[string]string{"a": "1", "c": "written again"}, 4},
		"which is before that revision":       {map[string]string{"a": "1"}, 2},
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
				restored := 0
				cp := newCopy(t, fs, func(fo *follow.ListWatcher) {
					fo.RelistDelay, fo.OnRestore = 5*time.Second, func(int64, time.Time) { restored++ }
				})
				time.Sleep(3 * time.Second)
				fs.restore(tc.copied, tc.version)
				time.Sleep(2 * silence)
				g.Expect(cp.now().items).To(Equal(tc.copied))
				g.Expect(restored).To(Equal(1))
				time.Sleep(10 * time.Second)
				g.Expect(cp.now().replaced).To(Equal(3), "the first list, that of the return, and one once entries that nobody writes are gone")
			})
		})
	}
}

func TestRestoredTwiceInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fs := newFakeStore()
		fs.put("a", "1")
		restored := 0
		cp := newCopy(t, fs, func(fo *follow.ListWatcher) { fo.OnRestore = func(int64, time.Time) { restored++ } })
		time.Sleep(time.Second)
		fs.restore(map[string]string{"a": "2"}, 1)
		time.Sleep(2 * silence)
		fs.restore(map[string]string{"a": "3"}, 1)
		time.Sleep(2 * silence)
		g.Expect(cp.now().items).To(Equal(map[string]string{"a": "3"}))
		g.Expect(restored).To(Equal(2))
	})
}
