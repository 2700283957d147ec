package gossip

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// oneWayLink is a link from one node to another whose frames a test delivers. Neither end sends on its own.
type oneWayLink struct {
	out, in *link
}

// newOneWayLink links two unstarted nodes that share a clock.
func newOneWayLink(from, to *node) *oneWayLink {
	ol := &oneWayLink{out: from.ms.newLink(nil, nil, ""), in: to.ms.newLink(nil, nil, "")}
	ol.out.peerSubscription.Scope = scopeAll
	return ol
}

// send returns the encoded frame that the sending end would write now.
func (ol *oneWayLink) send(g *WithT) []byte {
	b, err := encoding{}.Marshal(ol.out.nextFrame())
	g.Expect(err).NotTo(HaveOccurred())
	return b
}

// deliver makes the receiving end handle an encoded frame.
func (ol *oneWayLink) deliver(g *WithT, b []byte) {
	var fr frame
	g.Expect(encoding{}.Unmarshal(b, &fr)).To(Succeed())
	g.Expect(ol.in.handleFrame(fr)).To(Succeed())
}

// advance moves the clock forward while an unstarted node sends its heartbeats, so that the time counts as active.
func (nd *node) advance(ck *clock, d time.Duration) {
	for end := ck.now.Add(d); ck.now.Before(end); {
		ck.now = ck.now.Add(min(end.Sub(ck.now), defaultHeartbeatInterval))
		nd.ms.heartbeat()
	}
}

// TestStateAgeIncludesTimeInBuffers delays frames between two members. It guards against an instance that refuses a key with 401
// long after the configuration with that key is in force, because its proof of the older configuration seems recent: a relay or
// its subscriber with little CPU or bandwidth falls behind by seconds, and its frames wait in the buffers of the link. The age in a
// state covers only the time from building to writing it, so on each hop the wait would make an old proof pass for a new one.
func TestStateAgeIncludesTimeInBuffers(t *testing.T) {
	const typical = 2 * time.Millisecond
	tests := map[string]struct {
		// earlier are the transit times of the earlier frames, last that of the last frame.
		earlier []time.Duration
		last    time.Duration
		// minAge and maxAge bound the computed age of the last state.
		minAge, maxAge time.Duration
	}{
		"in time":               {[]time.Duration{typical}, typical, 0, typical},
		"late by seconds":       {[]time.Duration{typical}, 3 * time.Second, 2900 * time.Millisecond, 3 * time.Second},
		"later each time":       {[]time.Duration{typical, time.Second, 2 * time.Second}, 3 * time.Second, 2900 * time.Millisecond, 3 * time.Second},
		"in time again":         {[]time.Duration{typical, 3 * time.Second}, typical, 0, 100 * time.Millisecond},
		"sooner than the first": {[]time.Duration{500 * time.Millisecond}, typical, 0, typical},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ck := &clock{now: time.Unix(0, 0)}
			from := newNode(t, Options{Self: Member{Name: "a"}, HeartbeatInterval: defaultHeartbeatInterval, Now: ck.read})
			ck.now = ck.now.Add(time.Hour)
			to := newNode(t, Options{Self: Member{Name: "b"}, HeartbeatInterval: defaultHeartbeatInterval, Now: ck.read})
			var age time.Duration
			to.ms.opts.ReceiveState = func(_ Member, _ []byte, madeAt time.Time) { age = ck.now.Sub(madeAt) }
			ol := newOneWayLink(from, to)
			for i, delay := range append(tc.earlier, tc.last) {
				from.published = []byte{byte(i)}
				from.ms.PublishState()
				from.ms.refreshState()
				sent := ol.send(g)
				to.advance(ck, delay)
				ol.deliver(g, sent)
			}
			g.Expect(age).To(And(BeNumerically(">=", tc.minAge), BeNumerically("<=", tc.maxAge)))
		})
	}
}

// TestDelayEstimateOnLongLivedLink observes one frame per second for an hour on a link whose ends have different clocks.
func TestDelayEstimateOnLongLivedLink(t *testing.T) {
	const frames = 3600
	tests := map[string]struct {
		// uptime returns the sender's uptime after the given time on the receiver's clock.
		uptime func(elapsed time.Duration) time.Duration
		want   time.Duration
	}{
		"same clock":                 {func(d time.Duration) time.Duration { return d }, 0},
		"sender's clock ahead":       {func(d time.Duration) time.Duration { return d + time.Hour }, 0},
		"sender's clock runs slow":   {func(d time.Duration) time.Duration { return d - d/1000 }, 0},
		"sender's clock runs fast":   {func(d time.Duration) time.Duration { return d + d/1000 }, 0},
		"sender's clock stood still": {func(d time.Duration) time.Duration { return d - min(d, 10*time.Second) + 1 }, 0},
		"sender reports no uptime":   {func(time.Duration) time.Duration { return 0 }, 0},
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
			start := time.Unix(0, 0)
			var de delayEstimator
			var delay time.Duration
			for i := range frames {
				elapsed := time.Duration(i+1) * time.Second
				delay = de.observe(tc.uptime(elapsed), start.Add(elapsed), start)
			}
			g.Expect(delay).To(Equal(tc.want))
		})
	}
}

// TestStateAgeIncludesPauseWhileStateIsBuilt guards against an old proof that seems recent: a member is paused, or waits for CPU,
// while it builds its state. The state contains the age of the proof before the pause, so the state's own age must count from
// before it is built; if it counted from the end of the build, the pause would be left out.
func TestStateAgeIncludesPauseWhileStateIsBuilt(t *testing.T) {
	const pause = 5 * time.Second
	g := NewWithT(t)
	nd, ck := newUnstartedNode(t)
	provenAt := ck.now
	var proofAge time.Duration
	nd.ms.opts.State = func() []byte {
		proofAge = ck.now.Sub(provenAt)
		ck.now = ck.now.Add(pause)
		return []byte("state")
	}
	nd.ms.refreshState()
	g.Expect(nd.ms.self.state.madeAt.Add(-proofAge)).NotTo(BeTemporally(">", provenAt))
}
