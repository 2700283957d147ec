// Package returntimes promises refused callers times at which capacity is expected to be free, and recognises them when they return. It reads no
// clock and has no lock: times are parameters, and its caller serialises the calls.
package returntimes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketSize is the grain in which promises are counted against what is expected to finish.
	bucketSize = 100 * time.Millisecond
	// earlyTolerance is how much before its time a caller may return: half a bucket, which covers the rounding of Retry-After.
	earlyTolerance = bucketSize / 2
	// lateTolerance is how much after it: about the objective of a short prompt.
	lateTolerance = 300 * time.Millisecond
	// holdPeriod is how long after its time a place is kept free of others: one bucket, which covers the delay of a caller in the network. A
	// longer one leaves slots idle for callers that do not return, and for those that returned at a peer that has not told yet.
	holdPeriod = bucketSize
	// MaxPromises is the maximum number of promises that an instance keeps, so that all of them fit into a report to its peers.
	MaxPromises = 512
	// openBuckets is the number of buckets with room that a promise is chosen from. Peers that refuse at the same moment do not know each
	// other's promises yet, and would all choose the first one.
	openBuckets = 8
	// fillShare is the share of what is expected to finish that is promised. The rest covers what peers promised at the same moment: with all of it
	// promised, the fullest 100 ms got 1.5 times what finished in them.
	fillShare = 0.8
	// maxHorizon limits how far ahead a time is promised. No caller has more than a few seconds, a third of which counts.
	maxHorizon = 30 * time.Second
)

// Lane separates promises that wait for different capacity: that of one service and kind of prompt.
type Lane uint32

// Caller identifies a caller over its requests: a hash of what its requests have in common.
type Caller uint64

// CallerOf returns the caller whose requests have the given strings in common. It is never zero, which stands for an unknown caller.
func CallerOf(parts ...string) Caller {
	h := xxhash.New()
	var length [binary.MaxVarintLen64]byte
	for _, part := range parts {
		// Writing to a hash never fails. The length in front keeps bytes that move from one part to the next from giving the same caller.
		_, _ = h.Write(length[:binary.PutUvarint(length[:], uint64(len(part)))])
		_, _ = h.WriteString(part)
	}
	return Caller(max(1, h.Sum64()))
}

// Promise is a time at which a caller should return.
type Promise struct {
	Lane Lane
	At   time.Time
	// given is when it was given; zero for those of peers.
	given time.Time
}

// Result tells when a request came, compared with its caller's promise.
type Result int

const (
	// Unknown is that of a caller without a promise.
	Unknown Result = iota
	// OnTime is that of a caller that returned at its time.
	OnTime
	// Early is that of one that returned before.
	Early
	// Late is that of one that returned after.
	Late
)

var resultNames = map[Result]string{Unknown: "new", OnTime: "on_time", Early: "early", Late: "late"}

// String returns the name of the result.
func (rs Result) String() string { return resultNames[rs] }

// bucket identifies a period of bucketSize in a lane, since the epoch of the ledger.
type bucket struct {
	lane  Lane
	index int64
}

// Ledger holds the promises of this instance and of its peers. It is not safe for concurrent use.
type Ledger struct {
	// epoch is the start of the first bucket.
	epoch time.Time
	// own holds at most MaxPromises promises.
	own map[Caller]Promise
	// peers holds what each peer told last.
	peers map[string]map[Caller]Promise
	// settled holds when the promises that this instance settled would have ended, so that older reports of peers do not renew them, and peers
	// end them too; at most MaxPromises.
	settled map[Caller]time.Time
	// counts is the number of promises in own and peers by bucket. It holds no zeros.
	counts map[bucket]int
	// prunedAt is when promises that are over were last removed.
	prunedAt time.Time
}

// New returns a ledger without promises. now starts its buckets.
func New(now time.Time) *Ledger {
	return &Ledger{
		epoch: now, own: map[Caller]Promise{}, peers: map[string]map[Caller]Promise{}, counts: map[bucket]int{},
		settled: map[Caller]time.Time{}, prunedAt: now,
	}
}

// Request asks for a promise.
type Request struct {
	Lane   Lane
	Caller Caller
	// Rate is how many prompts of the lane are expected to finish in a second.
	Rate float64
	// Earliest and Latest bound the time from now.
	Earliest, Latest time.Duration
	// Spread is a pseudo-random number in [0, 1) of the request.
	Spread float64
}

// Promise returns when a caller should return, from now, and whether that time is kept for it. A caller that has a promise for later keeps it. If
// no bucket has room, the time is in the second half of what is allowed, and not kept.
func (ld *Ledger) Promise(rq Request, now time.Time) (time.Duration, bool) {
	ld.prune(now)
	earliest := max(0, rq.Earliest)
	latest := max(earliest, min(rq.Latest, maxHorizon))
	if pm, known := ld.find(rq.Caller); known && pm.At.After(now) {
		// Later requests of a caller have less time left.
		return min(latest, max(earliest, pm.At.Sub(now))), true
	}
	at, found := ld.openTime(rq, now.Add(earliest), now.Add(latest))
	if !found || len(ld.own) >= MaxPromises {
		half := (latest - earliest) / 2
		return earliest + half + time.Duration(rq.Spread*float64(half)), false
	}
	ld.keep(rq.Caller, Promise{Lane: rq.Lane, At: at, given: now})
	return at.Sub(now), true
}

// openTime returns a time in one of the first buckets that have room and lie within a period.
func (ld *Ledger) openTime(rq Request, from, to time.Time) (time.Time, bool) {
	var open [openBuckets]int64
	count := 0
	end := ld.indexOf(to)
	for index := ld.indexOf(from) + 1; index < end && count < openBuckets; index++ {
		if ld.hasRoom(rq.Lane, rq.Rate, index) {
			open[count] = index
			count++
		}
	}
	if count == 0 {
		return time.Time{}, false
	}
	chosen := rq.Spread * float64(count)
	index := open[int(chosen)]
	// The promises of a bucket are spread evenly over it.
	share := (float64(ld.counts[bucket{rq.Lane, index}]) + chosen - float64(int(chosen))) / float64(finishing(rq.Rate, index))
	return ld.epoch.Add(time.Duration((float64(index) + share) * float64(bucketSize))), true
}

// hasRoom reports whether a bucket has room for a promise, alone and together with its neighbours. The buckets of peers begin at other moments, so
// that a bucket here can look half empty where those of a peer are full.
func (ld *Ledger) hasRoom(la Lane, rate float64, index int64) bool {
	promised, expected := 0, 0
	for near := index - 1; near <= index+1; near++ {
		promised += ld.counts[bucket{la, near}]
		expected += finishing(rate, near)
	}
	return ld.counts[bucket{la, index}] < finishing(rate, index) && promised < expected
}

// finishing returns how many promises a bucket takes. The parts of a prompt add up over the buckets, so that a rate below one
// in a bucket gives a promise in some of them.
func finishing(rate float64, index int64) int {
	perBucket := fillShare * rate * bucketSize.Seconds()
	return int(int64(float64(index+1)*perBucket) - int64(float64(index)*perBucket))
}

// Return reports whether a request of a caller is on time.
func (ld *Ledger) Return(ca Caller, now time.Time) Result {
	pm, known := ld.find(ca)
	switch {
	case !known:
		return Unknown
	case now.Before(pm.At.Add(-earlyTolerance)):
		return Early
	case now.After(pm.At.Add(lateTolerance)):
		return Late
	default:
		return OnTime
	}
}

// Settle ends the promise of a caller: it was admitted, or refused when it returned.
func (ld *Ledger) Settle(ca Caller) {
	pm, known := ld.find(ca)
	if !known {
		return
	}
	ld.dropAll(ca)
	if len(ld.settled) < MaxPromises {
		ld.settled[ca] = pm.At.Add(lateTolerance + bucketSize)
	}
}

// dropAll removes a caller's promise, whoever gave it.
func (ld *Ledger) dropAll(ca Caller) {
	ld.drop(ld.own, ca)
	for _, pms := range ld.peers {
		ld.drop(pms, ca)
	}
}

// Due returns the number of promises of a lane that places are kept for now: their time has come, or comes within the tolerance, and they were not
// settled.
func (ld *Ledger) Due(la Lane, now time.Time) int {
	ld.prune(now)
	sum := 0
	for index := ld.indexOf(now.Add(-holdPeriod)); index <= ld.indexOf(now.Add(earlyTolerance)); index++ {
		sum += ld.counts[bucket{la, index}]
	}
	return sum
}

// InBucket returns the number of promises of a lane in the bucket of a time.
func (ld *Ledger) InBucket(la Lane, at time.Time) int { return ld.counts[bucket{la, ld.indexOf(at)}] }

// Len returns the number of promises of this instance.
func (ld *Ledger) Len() int { return len(ld.own) }

func (ld *Ledger) find(ca Caller) (Promise, bool) {
	if pm, known := ld.own[ca]; known {
		return pm, true
	}
	for _, pms := range ld.peers {
		if pm, known := pms[ca]; known {
			return pm, true
		}
	}
	return Promise{}, false
}

func (ld *Ledger) keep(ca Caller, pm Promise) {
	ld.dropAll(ca)
	delete(ld.settled, ca)
	ld.own[ca] = pm
	ld.counts[ld.bucketOf(pm)]++
}

func (ld *Ledger) drop(pms map[Caller]Promise, ca Caller) {
	pm, known := pms[ca]
	if !known {
		return
	}
	delete(pms, ca)
	bu := ld.bucketOf(pm)
	ld.counts[bu]--
	if ld.counts[bu] <= 0 {
		delete(ld.counts, bu)
	}
}

// prune removes promises that are over. It does so once for each bucket at most.
func (ld *Ledger) prune(now time.Time) {
	if now.Sub(ld.prunedAt) < bucketSize {
		return
	}
	ld.prunedAt = now
	oldest := now.Add(-lateTolerance - bucketSize)
	ld.pruneBefore(ld.own, oldest)
	for _, pms := range ld.peers {
		ld.pruneBefore(pms, oldest)
	}
	for ca, until := range ld.settled {
		if until.Before(now) {
			delete(ld.settled, ca)
		}
	}
}

func (ld *Ledger) pruneBefore(pms map[Caller]Promise, oldest time.Time) {
	for ca, pm := range pms {
		if pm.At.Before(oldest) {
			ld.drop(pms, ca)
		}
	}
}

func (ld *Ledger) bucketOf(pm Promise) bucket { return bucket{pm.Lane, ld.indexOf(pm.At)} }

func (ld *Ledger) indexOf(at time.Time) int64 {
	since := at.Sub(ld.epoch)
	if since < 0 {
		return -1
	}
	return int64(since / bucketSize)
}
