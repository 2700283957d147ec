package retrybudget_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/silvermount/silvermount/internal/objectstore"
	"github.com/silvermount/silvermount/internal/retrybudget"
	"github.com/silvermount/silvermount/internal/retryledger"
)

const (
	simStep      = 50 * time.Millisecond
	simWindow    = 10 * time.Second
	simRatio     = 0.2
	simZones     = 3
	simRetention = time.Minute
)

// simInstance is one life of an instance.
type simInstance struct {
	zone      int
	own, held *retrybudget.Budget
	ledger    *retryledger.Ledger
	startedAt time.Time
	// storeCut and peersCut are set while the instance does not reach the store or any peer.
	storeCut, peersCut bool
	sharers            int
	sharersAt          time.Time
	// lastSeen is the number of members at the last maintenance.
	lastSeen int
}

// simFleet is a fleet with a clock of its own. Its zones keep their number of instances, unless it grows.
type simFleet struct {
	rng       *rand.Rand
	now       time.Time
	floor     float64
	store     *simStore
	instances []*simInstance
	// zoneCut is the availability zone that sees no other one and no store; negative for none.
	zoneCut int
	// hearAfter is how long an instance and its peers do not hear of each other after a start.
	hearAfter time.Duration
	// requests and retries are the times of both, for each service.
	requests, retries map[string][]time.Time
	denied            int
}

func newSimFleet(seed uint64, instances int, floor float64) *simFleet {
	rng := rand.New(rand.NewPCG(seed, 68))
	sf := &simFleet{
		rng: rng, now: time.Unix(1000, 0), floor: floor, zoneCut: -1, hearAfter: time.Duration(rng.IntN(2000)) * time.Millisecond, requests: map[string][]time.Time{}, retries: map[string][]time.Time{},
		store: &simStore{rng: rng, pages: map[string]objectstore.Object{}},
	}
	for i := range instances {
		sf.instances = append(sf.instances, sf.start(i%simZones))
	}
	return sf
}

// start starts a life of an instance.
func (sf *simFleet) start(zone int) *simInstance {
	in := &simInstance{zone: zone, startedAt: sf.now}
	now := func() time.Time { return sf.now }
	st := sf.store.open(func() bool { return in.storeCut || sf.zoneCut == zone })
	in.ledger = retryledger.New(retryledger.Options{Store: st, Now: now, Sleep: func(context.Context, time.Duration) {}})
	in.ledger.SetLimits(retryledger.Limits{Retries: retrybudget.LedgerRetries(sf.floor), Window: simWindow, Validity: time.Second})
	newBudget := func() *retrybudget.Budget {
		return retrybudget.New(retrybudget.Options{
			Ratio: simRatio, Reserve: in.ledger.Reserve, Release: in.ledger.Release, Spawn: func(f func()) { f() }, Now: now,
			Log: &log.Logger{Handler: discard.New()},
		})
	}
	in.own, in.held = newBudget(), newBudget()
	in.own.SetBorrow(sf.borrowFor(in))
	in.setShare(retrybudget.InitialShare(sf.floor, simZones), 0)
	return in
}

// noHolderError means that an instance does not reach the holder of its availability zone.
type noHolderError struct{}

func (noHolderError) Error() string { return "the holder does not answer" }

// borrowFor returns the function by which an instance withdraws from the accounts of its availability zone.
func (sf *simFleet) borrowFor(in *simInstance) retrybudget.BorrowFunc {
	return func(service string, credit float64) (bool, error) {
		holder := sf.holderOf(in)
		if sf.rng.IntN(20) == 0 {
			return false, noHolderError{}
		}
		holder.held.Credit(service, credit)
		granted, pending := holder.held.TryWithdraw(service)
		if !granted && pending {
			granted, _ = holder.held.TryWithdraw(service)
		}
		return granted, nil
	}
}

// holderOf returns the instance that holds the accounts of a zone in the view of one of its instances: itself if it sees no peers.
func (sf *simFleet) holderOf(in *simInstance) *simInstance {
	if in.peersCut {
		return in
	}
	for _, other := range sf.instances {
		if other.zone == in.zone && !other.peersCut && sf.now.Sub(other.startedAt) > sf.hearAfter && sf.now.Sub(in.startedAt) > sf.hearAfter {
			return other
		}
	}
	return in
}

// members returns how many instances an instance sees, itself included, and how many of its availability zone. While a life is young, it
// has not heard of all yet.
func (sf *simFleet) members(in *simInstance) (all, zone int) {
	for _, other := range sf.instances {
		hears := other == in || !in.peersCut && !other.peersCut && sf.now.Sub(other.startedAt) > sf.hearAfter && sf.now.Sub(in.startedAt) > sf.hearAfter
		if !hears || other.zone != in.zone && (sf.zoneCut == in.zone || sf.zoneCut == other.zone) {
			continue
		}
		all++
		if other.zone == in.zone {
			zone++
		}
	}
	return all, zone
}

// setShare sets the share of an instance.
func (in *simInstance) setShare(sh retrybudget.Share, sharers int) {
	in.own.SetShare(sh.Own, sharers)
	in.held.SetShare(sh.Zone, sharers)
}

// maintain updates the shares of all instances, as they do every second.
func (sf *simFleet) maintain() {
	for _, in := range sf.instances {
		in.own.Expire()
		in.held.Expire()
		_ = in.ledger.Tidy(context.Background()) // an unreachable store is part of the simulation
		all, zone := sf.members(in)
		if zone >= in.sharers || sf.now.Sub(in.sharersAt) > simRetention {
			in.sharers, in.sharersAt = zone, sf.now
		}
		grown := all > in.lastSeen
		in.lastSeen = all
		if grown || all < 2 {
			continue
		}
		sh := retrybudget.NewShare(sf.floor, simZones, in.sharers)
		in.setShare(sh, in.sharers)
		in.own.SetBorrow(nil)
		if sh.Zone > 0 {
			in.own.SetBorrow(sf.borrowFor(in))
		}
	}
}

// run lets time pass. Each second, perSecond requests for each service arrive, and failures of them fail once and want a retry.
func (sf *simFleet) run(d time.Duration, perSecond map[string]float64, failures float64) {
	for end := sf.now.Add(d); sf.now.Before(end); {
		sf.now = sf.now.Add(simStep)
		for service, rate := range perSecond {
			for n := sf.arrivals(rate * simStep.Seconds()); n > 0; n-- {
				sf.request(service, failures)
			}
		}
		if sf.now.UnixMilli()%1000 == 0 {
			sf.maintain()
		}
	}
}

// arrivals returns a random whole number with the given mean.
func (sf *simFleet) arrivals(mean float64) int {
	n := int(mean)
	if sf.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// request handles one request at a random instance.
func (sf *simFleet) request(service string, failures float64) {
	in := sf.instances[sf.rng.IntN(len(sf.instances))]
	sf.requests[service] = append(sf.requests[service], sf.now)
	in.own.Deposit(service)
	if sf.rng.Float64() < failures {
		sf.retry(in, service)
	}
}

// retry withdraws a retry at an instance.
func (sf *simFleet) retry(in *simInstance, service string) bool {
	if !in.own.Withdraw(service).Granted() {
		sf.denied++
		return false
	}
	sf.retries[service] = append(sf.retries[service], sf.now)
	return true
}

// restart replaces a share of the instances by new lives.
func (sf *simFleet) restart(share float64) {
	for i, in := range sf.instances {
		if sf.rng.Float64() < share {
			sf.instances[i] = sf.start(in.zone)
		}
	}
}

// excess returns by how many the retries of a service exceed what is allowed, in the worst window.
func (sf *simFleet) excess(service string) float64 {
	retries, worst := sf.retries[service], -sf.floor
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Sub(from) >= simWindow {
				break
			}
			n++
		}
		worst = max(worst, float64(n)-sf.floor-simRatio*float64(sf.mostRequests(service, from)))
	}
	return worst
}

// mostRequests returns the number of requests in the window from the given time, in the one before it or in the one that begins half a
// window before it, whichever holds most.
func (sf *simFleet) mostRequests(service string, from time.Time) int {
	most := 0
	for _, shift := range []time.Duration{0, simWindow / 2, simWindow} {
		start, n := from.Add(-shift), 0
		for _, at := range sf.requests[service] {
			if !at.Before(start) && at.Sub(start) < simWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
