package returntimes_test

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silvermount/silvermount/internal/peercodec"
	"github.com/silvermount/silvermount/internal/returntimes"
)

const lane = returntimes.Lane(7)

var start = time.Unix(1000, 0)

// ask returns a request of a caller to a lane in which 50 prompts finish in a second.
func ask(ca int) returntimes.Request {
	return returntimes.Request{
		Lane: lane, Caller: returntimes.Caller(ca), Rate: 50, Earliest: 90 * time.Millisecond, Latest: 3 * time.Second, Spread: math.Mod(float64(ca)*math.Phi, 1),
	}
}

// TestCallerOf guards against callers of different requests that share a promise.
func TestCallerOf(t *testing.T) {
	g := NewWithT(t)
	g.Expect(returntimes.CallerOf("a", "b")).To(Equal(returntimes.CallerOf("a", "b")))
	g.Expect(returntimes.CallerOf("a", "b")).NotTo(Equal(returntimes.CallerOf("ab", "")))
	g.Expect(returntimes.CallerOf("a", "b")).NotTo(Equal(returntimes.CallerOf("b", "a")))
	g.Expect(returntimes.CallerOf()).NotTo(BeZero())
}

// TestNoBucketHoldsMoreThanFinishes guards against callers that all return at the first moment at which anything is free.
func TestNoBucketHoldsMoreThanFinishes(t *testing.T) {
	g := NewWithT(t)
	ld := returntimes.New(start)
	kept := 0
	for ca := range 400 {
		after, ok := ld.Promise(ask(ca+1), start)
		g.Expect(after).To(And(BeNumerically(">=", 90*time.Millisecond), BeNumerically("<=", 3*time.Second)))
		if ok {
			kept++
		}
	}
	for since := time.Duration(0); since < 4*time.Second; since += 100 * time.Millisecond {
		g.Expect(ld.InBucket(lane, start.Add(since))).To(BeNumerically("<=", 5))
	}
	g.Expect(kept).To(BeNumerically("~", 0.8*145, 10), "all buckets within the callers' time are used")
}

// TestSlowLaneSharesBuckets guards against rates below one prompt in a bucket that give no promise at all, or one for each bucket.
func TestSlowLaneSharesBuckets(t *testing.T) {
	g := NewWithT(t)
	ld := returntimes.New(start)
	kept := 0
	for ca := range 40 {
		rq := ask(ca + 1)
		rq.Rate = 3
		if _, ok := ld.Promise(rq, start); ok {
			kept++
		}
	}
	g.Expect(kept).To(BeNumerically("~", 0.8*9, 1))
}

func TestReturn(t *testing.T) {
	tests := map[string]struct {
		off  time.Duration
		want returntimes.Result
	}{
		"at once":       {-time.Second, returntimes.Early},
		"a bit early":   {-40 * time.Millisecond, returntimes.OnTime},
		"on time":       {0, returntimes.OnTime},
		"a bit late":    {250 * time.Millisecond, returntimes.OnTime},
		"too late":      {350 * time.Millisecond, returntimes.Late},
		"much too late": {time.Minute, returntimes.Late},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ld := returntimes.New(start)
			rq := ask(1)
			rq.Earliest = 2 * time.Second
			after, _ := ld.Promise(rq, start)
			at := start.Add(after)
			g.Expect(ld.Return(1, at.Add(tc.off))).To(Equal(tc.want))
			g.Expect(ld.Return(2, at.Add(tc.off))).To(Equal(returntimes.Unknown))
		})
	}
}

// TestRepeatingGainsNothing guards against callers that get an earlier place, or several, by asking again at once.
func TestRepeatingGainsNothing(t *testing.T) {
	g := NewWithT(t)
	ld := returntimes.New(start)
	rq := ask(1)
	rq.Earliest = time.Second
	first, _ := ld.Promise(rq, start)
	rq.Earliest = 90 * time.Millisecond
	for ms := range 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		g.Expect(ld.Return(1, now)).To(Equal(returntimes.Early))
		again, ok := ld.Promise(rq, now)
		g.Expect(ok).To(BeTrue())
		g.Expect(now.Add(again)).To(Equal(start.Add(first)))
	}
	g.Expect(ld.Len()).To(Equal(1))
}

func TestPlaceIsKeptUntilShortlyAfterItsTime(t *testing.T) {
	g := NewWithT(t)
	ld := returntimes.New(start)
	rq := ask(1)
	rq.Earliest = time.Second
	after, _ := ld.Promise(rq, start)
	at := start.Add(after)
	g.Expect(ld.Due(lane, start)).To(BeZero())
	g.Expect(ld.Due(lane, at)).To(Equal(1))
	g.Expect(ld.Due(lane+1, at)).To(BeZero(), "lanes are separate")
	ld.Settle(1)
	g.Expect(ld.Due(lane, at)).To(BeZero())
	g.Expect(ld.Return(1, at)).To(Equal(returntimes.Unknown), "a promise holds once")
	after, _ = ld.Promise(ask(2), at)
	g.Expect(ld.Due(lane, at.Add(after+250*time.Millisecond))).To(BeZero(), "a caller that does not return leaves no slot idle")
}

// TestPromisesAreBounded guards against memory and reports that grow with the callers.
func TestPromisesAreBounded(t *testing.T) {
	g := NewWithT(t)
	ld := returntimes.New(start)
	for ca := range 5000 {
		rq := ask(ca + 1)
		rq.Rate = 1e6
		ld.Promise(rq, start)
		if ca%3 == 0 {
			ld.Settle(rq.Caller)
		}
	}
	g.Expect(ld.Len()).To(Equal(returntimes.MaxPromises))
	g.Expect(len(ld.Encode(start))).To(BeNumerically("<", 13<<10))
	g.Expect(ld.Due(lane, start.Add(time.Hour))).To(BeZero())
	g.Expect(ld.Len()).To(BeZero())
	g.Expect(ld.Encode(start.Add(time.Hour))).To(BeEmpty())
}

// TestPromiseHoldsAtPeers guards against callers that count as new because another instance gets their next request, and against peers that
// promise the same capacity again.
func TestPromiseHoldsAtPeers(t *testing.T) {
	g := NewWithT(t)
	a, b := returntimes.New(start), returntimes.New(start.Add(-33*time.Millisecond))
	full := 0
	for ca := range 400 {
		if _, ok := a.Promise(ask(ca+1), start); ok {
			full = ca + 1
		}
	}
	g.Expect(b.Receive("a", a.Encode(start), start)).To(Succeed())
	kept := 0
	for ca := range 100 {
		if _, ok := b.Promise(ask(1000+ca), start); ok {
			kept++
		}
	}
	// Buckets of the two begin at different times, so that some at the edges look free.
	g.Expect(kept).To(BeNumerically("<=", 120/6))
	for since := time.Duration(0); since < 4*time.Second; since += 100 * time.Millisecond {
		g.Expect(b.InBucket(lane, start.Add(since))).To(BeNumerically("<=", 7), "at most 1.5 times what finishes")
	}
	after, _ := a.Promise(ask(full), start)
	at := start.Add(after)
	g.Expect(b.Return(returntimes.Caller(full), at)).To(Equal(returntimes.OnTime))
	older := a.Encode(at)
	b.Settle(returntimes.Caller(full))
	g.Expect(b.Receive("a", older, at)).To(Succeed())
	g.Expect(b.Return(returntimes.Caller(full), at)).To(Equal(returntimes.Unknown), "an older report does not renew a promise")
	g.Expect(a.Receive("b", b.Encode(at), at)).To(Succeed())
	g.Expect(a.Return(returntimes.Caller(full), at)).To(Equal(returntimes.Unknown), "peers learn that it is settled")
}

// TestPromisesAreLostWithPeers covers a peer that was lost, a restart and peers that are silent.
func TestPromisesAreLostWithPeers(t *testing.T) {
	g := NewWithT(t)
	a, b := returntimes.New(start), returntimes.New(start)
	after, _ := a.Promise(ask(1), start)
	at := start.Add(after)
	g.Expect(b.Return(1, at)).To(Equal(returntimes.Unknown), "silent peers")
	g.Expect(b.Receive("a", a.Encode(start), start)).To(Succeed())
	g.Expect(b.Due(lane, at)).To(Equal(1))
	b.Forget("a")
	g.Expect(b.Due(lane, at)).To(BeZero())
	g.Expect(b.Return(1, at)).To(Equal(returntimes.Unknown), "lost peer")
	g.Expect(returntimes.New(at).Return(1, at)).To(Equal(returntimes.Unknown), "restart")
	g.Expect(b.Receive("a", a.Encode(start), start)).To(Succeed())
	g.Expect(b.Due(lane, at.Add(time.Second))).To(BeZero(), "a peer that fell silent holds nothing beyond its promises")
}

// TestMalformedReport guards against a damaged report that leaves half of its promises.
func TestMalformedReport(t *testing.T) {
	a := returntimes.New(start)
	a.Promise(ask(1), start)
	good := a.Encode(start)
	tests := map[string][]byte{
		"truncated":         good[:len(good)-1],
		"trailing bytes":    append(append([]byte{}, good...), 1),
		"too many promises": binary.AppendUvarint(nil, returntimes.MaxPromises+1),
		"too many settled":  append(append([]byte{}, 0), make([]byte, 8*(returntimes.MaxPromises+1))...),
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ld := returntimes.New(start)
			var me *peercodec.MalformedError
			g.Expect(ld.Receive("a", body, start)).To(BeAssignableToTypeOf(me))
			g.Expect(ld.Return(1, start.Add(time.Second))).To(Equal(returntimes.Unknown))
		})
	}
}

// FuzzReceive guards against input of a peer that makes the ledger fail or grow.
func FuzzReceive(f *testing.F) {
	ld := returntimes.New(start)
	ld.Promise(ask(1), start)
	ld.Promise(ask(2), start)
	ld.Settle(2)
	f.Add(ld.Encode(start))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		to := returntimes.New(start)
		_ = to.Receive("a", body, start)
		to.Forget("a")
		if to.Due(lane, start) != 0 {
			t.Fatal("a lost peer leaves promises")
		}
	})
}
