package peersync

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/targets"
)

// TestTargetListForPreviousBuild checks the list for instances of the previous build. They address a target by its ID, and the
// target would reject the ID of an incarnation.
func TestTargetListForPreviousBuild(t *testing.T) {
	g := NewWithT(t)
	du := newDuty()
	du.dr = targets.New(time.Now)
	du.dr.ApplyChanges([]targets.EntryChange{
		{Name: "a", Target: targets.Target{ID: "a@1", Name: "a", StartedAt: time.UnixMilli(1000), Service: "s"}},
		{Name: "a", Target: targets.Target{ID: "a@2", Name: "a", StartedAt: time.UnixMilli(2000), Service: "s"}},
	}, position.Position{}, time.Now())
	want := map[string][]targets.Target{
		legacyTargetsDocument: {{ID: "a", Service: "s"}},
		targetsDocument:       {{ID: "a@2", Name: "a", StartedAt: time.UnixMilli(2000), Service: "s"}},
	}
	for name, listed := range want {
		b, ok := du.serveDocument(name)
		g.Expect(ok).To(BeTrue())
		b, err := decompress(b)
		g.Expect(err).NotTo(HaveOccurred())
		var tl targetList
		g.Expect(json.Unmarshal(b, &tl)).To(Succeed())
		for i := range tl.Targets {
			if !tl.Targets[i].StartedAt.IsZero() {
				tl.Targets[i].StartedAt = time.UnixMilli(tl.Targets[i].StartedAt.UnixMilli())
			}
		}
		g.Expect(tl.Targets).To(Equal(listed), name)
	}
}
