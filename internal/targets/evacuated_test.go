package targets_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/position"
	"github.com/silvermount/silvermount/internal/set"
	"github.com/silvermount/silvermount/internal/targets"
)

func TestTargetsOfEvacuatedZonesAreNotUsable(t *testing.T) {
	g := NewWithT(t)
	var zones set.Set[string]
	dr := targets.New(time.Now, targets.WithEvacuations(func() set.Set[string] { return zones }))
	near := targets.Target{ID: "near", Service: "s", AvailabilityZone: "a"}
	far := targets.Target{ID: "far", Service: "s", AvailabilityZone: "b"}
	dr.ApplyList([]targets.Target{near, far}, nil, position.Position{Revision: 1}, time.Now())
	usable := func() []targets.Target { return dr.Usable("s", targets.AllowProbe) }
	g.Expect(usable()).To(ConsistOf(near, far))
	zones = set.Of("a")
	g.Expect(usable()).To(ConsistOf(far))
	g.Expect(dr.IsEvacuated("near")).To(BeTrue())
	g.Expect(dr.IsEvacuated("far")).To(BeFalse())
	g.Expect(dr.TakesWork("near")).To(BeTrue(), "it still serves, so an attempt there counts")
	zones = set.Of("a", "b")
	g.Expect(usable()).To(BeEmpty(), "not even as the last resort")
	zones = set.Set[string]{}
	g.Expect(usable()).To(ConsistOf(near, far))
}
