package dispatch

import (
	"sync"
	"time"
)

const (
	// maxUnseenShare is the number of prompts that all instances may place before they know of each other's choice, as a share of the
	// targets.
	maxUnseenShare = 0.04
	// defaultAnswerTime is the time that a target takes to answer, until the performance figures of an engine are known.
	defaultAnswerTime = time.Second
	// maxAcceptableDelay is the propagation delay that is acceptable while nothing is in flight.
	maxAcceptableDelay = time.Second
	// acceptableDelayPeriod is how long a result is used again: the loads are summed over all targets.
	acceptableDelayPeriod = 100 * time.Millisecond
)

// acceptableDelay caches the result of AcceptableDelay.
type acceptableDelay struct {
	mu sync.Mutex
	// delay was computed at a time; zero before.
	delay time.Duration
	at    time.Time
}

// AcceptableDelay returns how long it may take until peers know of a choice of this instance. The more targets there are for each
// request in flight, the less a choice matters to the next ones, and the less often a large fleet has to exchange loads.
func (ds *Dispatcher) AcceptableDelay() time.Duration {
	ad := &ds.acceptable
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := ds.opts.Now()
	if ad.at.IsZero() || now.Sub(ad.at) >= acceptableDelayPeriod {
		ad.delay, ad.at = ds.computeAcceptableDelay(), now
	}
	return ad.delay
}

// computeAcceptableDelay computes the result of AcceptableDelay. By Little's law the rate of placements is the number of requests in
// flight divided by the time that an answer takes.
func (ds *Dispatcher) computeAcceptableDelay() time.Duration {
	ds.loadTable.mu.Lock()
	requests := ds.loadTable.inFlight()
	answerTime := ds.arrivals.answerTime
	ds.loadTable.mu.Unlock()
	if requests == 0 {
		return maxAcceptableDelay
	}
	if answerTime == 0 {
		answerTime = defaultAnswerTime
	}
	unseen := maxUnseenShare * float64(ds.targets.Len())
	return min(maxAcceptableDelay, time.Duration(unseen/float64(requests)*float64(answerTime)))
}
