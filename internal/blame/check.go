package blame

import (
	"time"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// chanceTrial is how likely it may be, at the most, that chance or other requests ended the targets under a request, for it to be
	// run only on trial.
	chanceTrial = 1e-2
	// trialPause is how long after an end under it, and after its trial, a request on trial is next run here. It doubles with each trial,
	// up to trialPauseMost.
	trialPause     = time.Second
	trialPauseMost = 8 * time.Second
)

// trial is the last run of a request on trial at this instance.
type trial struct {
	// at is when it was let through, pause how long it is not run after that, or after a later end.
	at    time.Time
	pause time.Duration
}

// Verdict says what is to be done with a request.
type Decision struct {
	// Judged is set when it is not to be run.
	Quarantined bool
	// Ends is how many targets had ended under it.
	Crashes int
	// Hold is how long it is to wait before it is looked at again; zero when it may run.
	Delay time.Duration
}

// Judged reports whether a request is not to be run, and how many targets had ended under it.
func (ld *Tracker) Quarantined(fp fingerprint.Fingerprint) (ends int, judged bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.refresh()
	jd, ok := ld.judgements[fp]
	return jd.Crashes, ok && jd.inForce(ld.opts.Now())
}

// refresh judges by what is known now. The lock is held.
func (ld *Tracker) refresh() {
	ld.expire()
	if ld.judge() {
		ld.opts.NotifyPeers()
	}
}

// Check says what is to be done with a request that is about to be sent to a target. Where it may run, that is its trial if it is on
// trial.
func (ld *Tracker) Check(fp fingerprint.Fingerprint) Decision {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.refresh()
	now := ld.opts.Now()
	if jd, ok := ld.judgements[fp]; ok && jd.inForce(now) {
		return Decision{Quarantined: true, Crashes: jd.Crashes}
	}
	open := ld.open()
	sp := ld.suspect(fp, open, open)
	if sp.likely(ld.judgements[fp]) {
		return Decision{Crashes: len(sp.runs), Delay: max(0, settleFor-now.Sub(sp.last()))}
	}
	return Decision{Crashes: len(sp.runs), Delay: ld.untilTrial(sp)}
}

// untilTrial returns how long a request that may end its targets is to wait before it is run again; zero when it may run now.
//
// While many targets end, too little tells the requests that end them from those beside them, above all at an instance that hears of no
// peer. Run seldom, the former end few targets, and the latter are answered whole, which clears them. The lock is held.
func (ld *Tracker) untilTrial(sp suspect) time.Duration {
	if len(sp.runs) < endsLeast || sp.chance > chanceTrial {
		return 0
	}
	pb, tried := ld.trials[sp.request]
	if !tried {
		pb.pause = trialPause
	}
	from := sp.last()
	if pb.at.After(from) {
		from = pb.at
	}
	now := ld.opts.Now()
	if wait := pb.pause - now.Sub(from); wait > 0 {
		return wait
	}
	ld.trials[sp.request] = trial{at: now, pause: min(2*pb.pause, trialPauseMost)}
	return 0
}

// expireTrials forgets the trials of requests that are no longer on trial. The lock is held.
func (ld *Tracker) expireTrials() {
	for fp := range ld.trials {
		if ld.held[fp] < endsLeast {
			delete(ld.trials, fp)
		}
	}
}
