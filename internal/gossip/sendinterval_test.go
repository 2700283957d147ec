package gossip

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSendInterval(t *testing.T) {
	const links = 66
	tests := map[string]struct {
		fullMesh   bool
		acceptable time.Duration
		want       time.Duration
	}{
		"as often as the links allow":               {false, 0, 35 * time.Millisecond},
		"acceptable delay shorter than that":        {false, 60 * time.Millisecond, 35 * time.Millisecond},
		"acceptable delay":                          {false, 150 * time.Millisecond, 50 * time.Millisecond},
		"idle fleet passes news within a heartbeat": {false, time.Second, defaultHeartbeatInterval / 3},
		"full mesh": {true, time.Second, 35 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			nd, _ := newUnstartedNode(t)
			nd.ms.plan.fullMesh = tc.fullMesh
			NewWithT(t).Expect(nd.ms.sendIntervalFor(links, tc.acceptable)).To(Equal(tc.want))
		})
	}
}
