package fairshare

import (
	"math"
	"time"
)

// view is the sum over all instances at a time.
type view struct {
	at       time.Time
	amounts  map[Key]Amount
	services map[uint32]serviceView
	peers    int
	// oldest is the age of the oldest report at that time.
	oldest time.Duration
}

// serviceView describes one service in a view.
type serviceView struct {
	// level is the share of an organisation with a weight of 1 that wants more; infinite if all get what they want.
	level float64
	// total is the sum over all organisations.
	total         Amount
	organisations int
}

// Refresh computes the sum over all instances again if it is at least as old as a duration.
func (ac *Accounts) Refresh(now time.Time, olderThan time.Duration) {
	if ac.view.amounts != nil && now.Sub(ac.view.at) < olderThan {
		return
	}
	vw := view{at: now, services: map[uint32]serviceView{}}
	sums := map[Key]Amount{}
	for _, en := range ac.ownEntries(now) {
		sums[en.key] = en.amount
	}
	for peer, rp := range ac.peers {
		age := now.Sub(rp.at)
		if age >= Window {
			delete(ac.peers, peer)
			continue
		}
		rp.addTo(sums, now)
		vw.peers++
		vw.oldest = max(vw.oldest, age)
	}
	entries := make([]entry, 0, len(sums))
	for ke, am := range sums {
		entries = append(entries, entry{ke, am})
	}
	named, rest := splitGreatest(entries, maxOrganisations)
	vw.amounts = make(map[Key]Amount, len(named)+len(rest))
	for _, en := range append(named, rest...) {
		vw.amounts[en.key] = en.amount
	}
	ac.view = vw
	ac.computeLevels(named, rest)
}

// computeLevels computes the max-min level of each service. The rest of a service keeps what it used, and the others share out what they
// used: how many organisations the unmet demand of the rest belongs to is not known.
func (ac *Accounts) computeLevels(named, rest []entry) {
	demands := map[uint32][]demand{}
	available, total := map[uint32]time.Duration{}, map[uint32]Amount{}
	for _, en := range named {
		sv := en.key.Service
		demands[sv] = append(demands[sv], demand{en.amount.demand(), ac.weightOf(en.key)})
		available[sv] += en.amount.Used
		total[sv] = total[sv].plus(en.amount)
	}
	for _, en := range rest {
		total[en.key.Service] = total[en.key.Service].plus(en.amount)
	}
	for sv, ds := range demands {
		ac.view.services[sv] = serviceView{level: level(ds, available[sv]), total: total[sv], organisations: len(ds)}
	}
}

func (ac *Accounts) weightOf(ke Key) float64 {
	if weight, ok := ac.weights[ke.Organisation]; ok {
		return weight
	}
	return 1
}

// demand is what one organisation wants, with its weight.
type demand struct {
	wanted time.Duration
	weight float64
}

// level returns the level at which the shares of all, each the lesser of its demand and its weight times the level, add up to what is
// available. It is infinite if that covers all demands.
func level(demands []demand, available time.Duration) float64 {
	lv := 0.0
	for {
		left, weights := float64(available), 0.0
		for _, de := range demands {
			if float64(de.wanted) <= lv*de.weight {
				left -= float64(de.wanted)
			} else {
				weights += de.weight
			}
		}
		if weights == 0 {
			return math.Inf(1)
		}
		next := max(0, left) / weights
		// The level only grows: an organisation that is satisfied at one level is so at a higher one.
		if next <= lv {
			return lv
		}
		lv = next
	}
}

// OrganisationCount returns the number of organisations that are accounted for one by one over all instances, as of the last Refresh.
func (ac *Accounts) OrganisationCount() int {
	sum := 0
	for _, sv := range ac.view.services {
		sum += sv.organisations
	}
	return sum
}

// Standing is where an organisation stands at a service, over all instances known.
type Standing struct {
	// Used and Unmet are the faded engine time of the organisation in the window, and Share is its max-min share.
	Used, Unmet, Share time.Duration
	// ServiceUsed is the engine time that all organisations used, ServiceDemand what they used or wanted, and Organisations the number
	// that are accounted for one by one.
	ServiceUsed, ServiceDemand time.Duration
	Organisations              int
	// Age is that of the sum over all instances, Peers the number of peers in it, and OldestReport the age of the oldest report.
	Age          time.Duration
	Peers        int
	OldestReport time.Duration
}

// Over returns by how much an organisation has used more than its share, as a part of the share; zero if it has not.
func (st Standing) Over() float64 {
	if st.Used <= st.Share {
		return 0
	}
	return float64(st.Used-st.Share) / float64(max(st.Share, time.Millisecond))
}

// rationGain is how strongly the admitted part follows the distance of an organisation from its share: with 4, nothing is admitted at a
// quarter above it.
const rationGain = 4

// AdmittedPart returns the part of the organisation's prompts that may be placed while engine time is short, so that it uses its share; 1 for
// one that wants no more, or that gets no more of what it wants than the others. Usage is known some hundred milliseconds late. An
// organisation that wants 30 times its share would use several shares within that time if all of its prompts were placed as soon as it is below.
func (st Standing) AdmittedPart() float64 {
	demand, othersDemand := st.Used+st.Unmet, st.ServiceDemand-st.Used-st.Unmet
	if demand <= st.Share || othersDemand <= 0 {
		return 1
	}
	share := max(st.Share, time.Millisecond)
	othersPart := max(float64(st.ServiceUsed-st.Used)/float64(othersDemand), float64(share)/float64(demand))
	correction := 1 + rationGain*float64(share-st.Used)/float64(share)
	return max(0, min(1, correction*float64(share)/float64(demand)/othersPart))
}

// Standing returns where an organisation stands. One that is not accounted for on its own has used nothing.
func (ac *Accounts) Standing(ke Key, now time.Time) Standing {
	ac.Refresh(now, maxViewAge)
	sv, am := ac.view.services[ke.Service], ac.view.amounts[ke]
	st := Standing{
		Used: am.Used, Unmet: am.Unmet, Share: am.demand(), ServiceUsed: sv.total.Used, ServiceDemand: sv.total.demand(), Organisations: sv.organisations,
		Age: now.Sub(ac.view.at), Peers: ac.view.peers, OldestReport: ac.view.oldest + now.Sub(ac.view.at),
	}
	if limit := sv.level * ac.weightOf(ke); sv.organisations > 0 && !math.IsInf(limit, 1) {
		st.Share = min(st.Share, time.Duration(limit))
	}
	return st
}

// Over returns by how much an organisation has used more than its share, as a part of the share; zero if it has not.
func (ac *Accounts) Over(ke Key, now time.Time) float64 { return ac.Standing(ke, now).Over() }
