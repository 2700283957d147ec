// Package fairshare accounts for the engine time that organisations use and want, and computes their max-min shares of it. It has no clock,
// lock or goroutine: times are parameters, and callers serialise the calls.
package fairshare

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the age at which usage no longer counts. Traffic swings within about 10 s, and an organisation must not pay in one
	// phase for what it used in the phase before.
	Window = 4 * time.Second
	// bucketTime is the resolution of the window.
	bucketTime  = 250 * time.Millisecond
	bucketCount = int(Window / bucketTime)
	// maxOrganisations is the number of organisations of all services that are accounted for one by one, at this instance and in the
	// sum over all instances. The rest of a service shares one account.
	maxOrganisations = 1024
	// ViewPeriod is the time after which the sum over all instances is computed again beside decisions. Peers report about as often.
	ViewPeriod = 200 * time.Millisecond
	// maxViewAge is the age at which a decision computes the sum itself: no one did beside decisions.
	maxViewAge = 500 * time.Millisecond
)

// Key identifies an organisation at a service by hashes of their names.
type Key struct {
	Service uint32
	// Organisation is zero for the account that the organisations without one of their own share.
	Organisation uint64
}

// KeyOf returns the key of an organisation at a service. Requests without an organisation have the empty one.
func KeyOf(service, organisation string) Key {
	return Key{Service: uint32(xxhash.Sum64String(service)), Organisation: max(1, xxhash.Sum64String(organisation))}
}

// rest returns the key of the account that organisations of the same service share.
func (ke Key) rest() Key { return Key{Service: ke.Service} }

// Amount is the engine time that an organisation used, and that it wanted but did not get.
type Amount struct {
	Used, Unmet time.Duration
}

func (am Amount) plus(ot Amount) Amount {
	return Amount{Used: am.Used + ot.Used, Unmet: am.Unmet + ot.Unmet}
}

// scaled returns the amount times a factor.
func (am Amount) scaled(by float64) Amount {
	return Amount{Used: time.Duration(by * float64(am.Used)), Unmet: time.Duration(by * float64(am.Unmet))}
}

// demand is what the organisation would have used if it had got all that it wanted.
func (am Amount) demand() time.Duration { return am.Used + am.Unmet }

// account holds the amounts of one organisation at this instance.
type account struct {
	buckets [bucketCount]Amount
	// last is the number of the newest bucket since the start of the accounts.
	last int64
}

// Accounts holds the usage of all organisations, at this instance and as reported by peers.
type Accounts struct {
	start   time.Time
	weights map[uint64]float64
	own     map[Key]*account
	peers   map[string]report
	view    view
	// droppedIdle is the bucket in which accounts made room last.
	droppedIdle int64
}

// Option is an option of New.
type Option func(*Accounts)

// WithWeights sets the weights of organisations by name; those without a positive one have a weight of 1.
func WithWeights(weights map[string]float64) Option {
	return func(ac *Accounts) {
		for name, weight := range weights {
			if weight > 0 {
				ac.weights[KeyOf("", name).Organisation] = weight
			}
		}
	}
}

// New returns empty accounts that begin at a time.
func New(start time.Time, opts ...Option) *Accounts {
	ac := &Accounts{start: start, weights: map[uint64]float64{}, own: map[Key]*account{}, peers: map[string]report{}}
	for _, opt := range opts {
		opt(ac)
	}
	return ac
}

// Add adds an amount, which may be negative, to what an organisation used or wanted at a time. An amount for a time outside the window has
// no effect.
func (ac *Accounts) Add(ke Key, am Amount, at, now time.Time) {
	bucket, latest := ac.bucketOf(at), ac.bucketOf(now)
	if latest-bucket >= int64(bucketCount) || bucket > latest {
		return
	}
	act := ac.accountOf(ke, now)
	act.advance(latest)
	slot := &act.buckets[bucket%int64(bucketCount)]
	*slot = Amount{Used: max(0, slot.Used+am.Used), Unmet: max(0, slot.Unmet+am.Unmet)}
}

// bucketOf returns the number of the bucket of a time.
func (ac *Accounts) bucketOf(at time.Time) int64 { return max(0, int64(at.Sub(ac.start)/bucketTime)) }

// fade returns how much a bucket counts that is older than the newest one by a number of buckets.
func fade(age int64) float64 { return max(0, 1-float64(age)/float64(bucketCount)) }

// advance clears the buckets that have left the window.
func (act *account) advance(latest int64) {
	for nr := max(act.last+1, latest-int64(bucketCount)+1); nr <= latest; nr++ {
		act.buckets[nr%int64(bucketCount)] = Amount{}
	}
	act.last = max(act.last, latest)
}

// sum returns the faded sum of the buckets.
func (act *account) sum(latest int64) Amount {
	var sum Amount
	for age := range min(int64(bucketCount), latest+1) {
		nr := latest - age
		if nr <= act.last && nr > act.last-int64(bucketCount) {
			sum = sum.plus(act.buckets[nr%int64(bucketCount)].scaled(fade(age)))
		}
	}
	return sum
}

// accountOf returns the account of an organisation. Without room for another one, those without usage in the window make room, or else the
// account that organisations share is returned.
func (ac *Accounts) accountOf(ke Key, now time.Time) *account {
	if act := ac.own[ke]; act != nil {
		return act
	}
	if len(ac.own) >= maxOrganisations {
		ac.dropIdle(now)
	}
	if len(ac.own) >= maxOrganisations && ke.Organisation != 0 {
		return ac.accountOf(ke.rest(), now)
	}
	act := &account{last: ac.bucketOf(now)}
	ac.own[ke] = act
	return act
}

// dropIdle removes the accounts that have nothing in the window, once for each bucket, since it goes through all of them.
func (ac *Accounts) dropIdle(now time.Time) {
	latest := ac.bucketOf(now)
	if latest == ac.droppedIdle {
		return
	}
	ac.droppedIdle = latest
	for ke, act := range ac.own {
		if act.sum(latest) == (Amount{}) {
			delete(ac.own, ke)
		}
	}
}
