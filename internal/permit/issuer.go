// Package permit enforces the rate limit of a target across all instances.
//
// For each target that states a rate limit, one instance issues permits. All instances select this issuer from the live
// instances by the same rule. An instance that wants to send a request to the target first requests a permit from the issuer. The
// limit is thus enforced in one place regardless of the number of instances, and any instance may use all of it. A new issuer
// starts with no permits available, so that a change of issuer does not cause a burst.
package permit

import (
	"sync"
	"time"

	"github.com/silvermount/silvermount/internal/ratelimit"
)

const (
	// burst is the maximum number of permits issued at once after a pause: one more than a steady rate needs, so that a permit
	// requested slightly late is not lost.
	burst = 2
	// minPerSecond is the rate applied to targets that state a lower one, or none at all. One request in ten seconds lets an
	// instance learn when the target accepts more again.
	minPerSecond = 0.1
	// holdDuration is how long no permits are issued after a start or a freeze of the process. Instances discover each other
	// within it, and until they do, another instance may be issuing permits for the same target.
	holdDuration = time.Second
	// maxTickGap is the time between two ticks, equal to several tick intervals, above which the process counts as having been
	// frozen.
	maxTickGap = time.Second
	// maxRetryDelay bounds the delay after which a refused instance may ask again, unless the next permit is due even later:
	// limits change, and other refused instances may not ask again.
	maxRetryDelay = 2 * time.Second
	// idleRetention is how long the state of a target is kept after the last request for a permit. It exceeds the interval
	// between two permits at the minimum rate.
	idleRetention = 30 * time.Second
)

// Decision is an issuer's response to a request for a permit.
type Decision struct {
	// Granted reports whether the request may be sent.
	Granted bool
	// Delay is the time to wait before sending if the permit is granted, and before asking again if it is refused.
	Delay time.Duration
}

// pacer spaces the permits of one target with the generic cell rate algorithm (GCRA).
type pacer struct {
	// tat is the theoretical arrival time, when the next permit is due at a steady rate. Permits granted in advance move it into
	// the future.
	tat time.Time
	// interval is the time between two permits at a steady rate, above zero.
	interval time.Duration
	// refusals counts the requests refused since the last permit was granted.
	refusals int
	// lastRequest is when a permit was last requested.
	lastRequest time.Time
}

// Issuer issues the permits of the targets that this instance is responsible for. It is safe for concurrent use.
type Issuer struct {
	now func() time.Time

	mu     sync.Mutex
	pacers map[string]pacer
	// holdUntil is the earliest time at which a permit may be used after a start or a freeze.
	holdUntil time.Time
	// lastTick is when Tick was last called, or a freeze was detected.
	lastTick time.Time
}

// NewIssuer returns an issuer that reads the time from a monotonic clock.
func NewIssuer(now func() time.Time) *Issuer {
	at := now()
	return &Issuer{now: now, pacers: map[string]pacer{}, holdUntil: at.Add(holdDuration), lastTick: at}
}

// Tick must be called several times a second; a longer gap shows that the process was frozen. It also evicts idle targets.
func (is *Issuer) Tick() {
	is.mu.Lock()
	defer is.mu.Unlock()
	now := is.now()
	is.holdAfterFreeze(now)
	is.lastTick = now
	for target, pc := range is.pacers {
		if now.Sub(pc.lastRequest) > idleRetention {
			delete(is.pacers, target)
		}
	}
}

// holdAfterFreeze withholds permits if the process was frozen, since another instance took over in the meantime. The caller holds
// the lock.
func (is *Issuer) holdAfterFreeze(now time.Time) {
	if now.Sub(is.lastTick) > maxTickGap {
		is.holdUntil = now.Add(holdDuration)
		is.lastTick = now
		clear(is.pacers)
	}
}

// Issue decides on a request for a permit of a target, which may be delayed by up to maxWait. Share is the fraction of the limit
// that this instance may issue, above zero and at most one.
func (is *Issuer) Issue(target string, li ratelimit.Limit, share float64, maxWait time.Duration) Decision {
	is.mu.Lock()
	defer is.mu.Unlock()
	now := is.now()
	is.holdAfterFreeze(now)
	pc, known := is.pacers[target]
	if !known {
		pc = newPacer(later(now, is.holdUntil), permitInterval(li, share))
	}
	pc = pc.withInterval(now, permitInterval(li, share))
	pc.lastRequest = now
	dc := pc.issue(now, max(maxWait, 0))
	is.pacers[target] = pc
	return dc
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// permitInterval returns the time between two permits at a steady rate.
func permitInterval(li ratelimit.Limit, share float64) time.Duration {
	return time.Duration(float64(time.Second) / (max(minPerSecond, li.PerSecond) * share))
}

// newPacer returns a pacer with no permits available at the given time.
func newPacer(from time.Time, interval time.Duration) pacer {
	return pacer{tat: from.Add(burst * interval), interval: interval}
}

// withInterval returns the pacer with a new interval. It scales the time until the theoretical arrival time, so that the number
// of permits granted in advance stays the same.
func (pc pacer) withInterval(now time.Time, interval time.Duration) pacer {
	if ahead := pc.tat.Sub(now); ahead > 0 && interval != pc.interval {
		pc.tat = now.Add(time.Duration(float64(ahead) * float64(interval) / float64(pc.interval)))
	}
	pc.interval = interval
	return pc
}

// issue grants the next permit if it becomes available within maxWait.
func (pc *pacer) issue(now time.Time, maxWait time.Duration) Decision {
	pc.tat = later(pc.tat, now)
	delay := max(0, pc.tat.Add(-(burst-1)*pc.interval).Sub(now))
	if delay > maxWait {
		// Consecutive refusals get increasing delays, so that the refused instances do not all ask again for the same permit.
		retryDelay := delay + time.Duration(pc.refusals)*pc.interval/2
		pc.refusals++
		return Decision{Delay: min(retryDelay, max(delay, maxRetryDelay))}
	}
	pc.tat = pc.tat.Add(pc.interval)
	pc.refusals = 0
	return Decision{Granted: true, Delay: delay}
}
