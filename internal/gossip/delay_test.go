package gossip

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// way is a link from a node to another whose frames a test carries. Neither end sends by itself.
type oneWayLink struct {
	out, in *link
}

// newWay links two nodes that share a clock and do not run.
func newOneWayLink(from, to *node) *oneWayLink {
	wy := &oneWayLink{out: from.ms.newLink(nil, nil, ""), in: to.ms.newLink(nil, nil, "")}
	wy.out.peerSubscription.Scope = scopeAll
	return wy
}

// send returns what would be written now.
func (ol *oneWayLink) send(g *WithT) []byte {
	b, err := encoding{}.Marshal(ol.out.nextFrame())
	g.Expect(err).NotTo(HaveOccurred())
	return b
}

// arrive has the other end read what was written.
func (ol *oneWayLink) deliver(g *WithT, b []byte) {
	var fr frame
	g.Expect(encoding{}.Unmarshal(b, &fr)).To(Succeed())
	g.Expect(ol.in.handleFrame(fr)).To(Succeed())
}

// awaits lets a time go by in which a node that does not run is awake.
func (nd *node) advance(ck *clock, d time.Duration) {
	for over := ck.now.Add(d); ck.now.Before(over); {
		ck.now = ck.now.Add(min(over.Sub(ck.now), defaultHeartbeatInterval))
		nd.ms.heartbeat()
	}
}

// TestAgeCountsTheTimeInBuffers holds frames up between two members.
//
// Symptom: an instance refuses a key with 401 long after the configuration that has it was taken, and its proof of the older one
// seems young. Sequence: a relay, or who hears from it, falls behind by seconds on a small share of a core or of the network;
// what it was told waits in the buffers of the link and is read late. Cause: a state tells its age from when it was made to when
// it was written, and the time from there to the reader counts for nothing, so that an old proof is taken for a new one, once for
// each hop.
func TestStateAgeIncludesTimeInBuffers(t *testing.T) {
	const usual = 2 * time.Millisecond
	tests := map[string]struct {
		// before are the times that earlier frames took, took that of the last.
		before []time.Duration
		took   time.Duration
		// least and most bound the age that the last state is taken to have.
		least, most time.Duration
	}{
		"in time":               {[]time.Duration{usual}, usual, 0, usual},
		"late by seconds":       {[]time.Duration{usual}, 3 * time.Second, 2900 * time.Millisecond, 3 * time.Second},
		"later each time":       {[]time.Duration{usual, time.Second, 2 * time.Second}, 3 * time.Second, 2900 * time.Millisecond, 3 * time.Second},
		"in time again":         {[]time.Duration{usual, 3 * time.Second}, usual, 0, 100 * time.Millisecond},
		"sooner than the first": {[]time.Duration{500 * time.Millisecond}, usual, 0, usual},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ck := &clock{now: time.Unix(0, 0)}
			from := newNode(t, Options{Self: Member{Name: "a"}, HeartbeatInterval: defaultHeartbeatInterval, Now: ck.read})
			ck.now = ck.now.Add(time.Hour)
			to := newNode(t, Options{Self: Member{Name: "b"}, HeartbeatInterval: defaultHeartbeatInterval, Now: ck.read})
			var age time.Duration
			to.ms.opts.ReceiveState = func(_ Member, _ []byte, made time.Time) { age = ck.now.Sub(made) }
			wy := newOneWayLink(from, to)
			for i, took := range append(tc.before, tc.took) {
				from.body = []byte{byte(i)}
				from.ms.PublishState()
				from.ms.refreshState()
				sent := wy.send(g)
				to.advance(ck, took)
				wy.deliver(g, sent)
			}
			g.Expect(age).To(And(BeNumerically(">=", tc.least), BeNumerically("<=", tc.most)))
		})
	}
}

// TestDelayOfALinkThatLastsLong takes a frame each second on a link whose clocks differ.
func TestDelayEstimateOnLongLivedLink(t *testing.T) {
	const frames = 3600
	tests := map[string]struct {
		// sent returns the sender's clock when the receiver's has counted so long.
		sent func(counted time.Duration) time.Duration
		want time.Duration
	}{
		"same clock":                {func(d time.Duration) time.Duration { return d }, 0},
		"sender's clock ahead":      {func(d time.Duration) time.Duration { return d + time.Hour }, 0},
		"sender's clock runs slow":  {func(d time.Duration) time.Duration { return d - d/1000 }, 0},
		"sender's clock runs fast":  {func(d time.Duration) time.Duration { return d + d/1000 }, 0},
		"sender's clock stood long": {func(d time.Duration) time.Duration { return d - min(d, 10*time.Second) + 1 }, 0},
		"sender does not tell":      {func(time.Duration) time.Duration { return 0 }, 0},
		"last frame late": {func(d time.Duration) time.Duration {
			if d == frames*time.Second {
				return d - 3*time.Second
			}
			return d
		}, 3*time.Second - time.Second/minOffsetRiseDivisor},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Unix(0, 0)
			var de delayEstimator
			var delay time.Duration
			for no := range frames {
				counted := time.Duration(no+1) * time.Second
				delay = de.observe(tc.sent(counted), began.Add(counted), began)
			}
			g.Expect(delay).To(Equal(tc.want))
		})
	}
}

// TestAgeCountsTheMakingOfTheState has an instance freeze while it makes its state.
//
// Symptom: as above. Sequence: a member that is frozen, or waits for its share of a core, in the middle of telling its state says
// how old its proof is, and seconds later that it made its state just now. Cause: the time of the state was read after it was made.
func TestStateAgeIncludesPauseWhileStateIsBuilt(t *testing.T) {
	const frozen = 5 * time.Second
	g := NewWithT(t)
	nd, ck := newStoppedNode(t)
	provenAt := ck.now
	var told time.Duration
	nd.ms.opts.State = func() []byte {
		told = ck.now.Sub(provenAt)
		ck.now = ck.now.Add(frozen)
		return []byte("state")
	}
	nd.ms.refreshState()
	g.Expect(nd.ms.self.state.madeAt.Add(-told)).NotTo(BeTemporally(">", provenAt))
}
