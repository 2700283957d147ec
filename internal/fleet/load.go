package fleet

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// defaultRate is assumed until a target has answered once.
	assumedPrefillRate = 10_000
	// rateWeight is the weight of a new sample of a target's rate.
	sampleWeight = 0.2
	// confirmWithin is the silence after which a target needs a probe before new work.
	maxUnconfirmedAge = 3 * time.Second
	// ejectAfter failures in a row take a target out for ejectFor.
	ejectionThreshold = 3
	ejectionTime      = 2 * time.Second
	// downFor is how long a target without connections is left alone before the next probe.
	unreachableTime = time.Second
	// ejectFloor is the least share of targets that stays in.
	minShareNotEjected = 0.5
	// manyTargets is the number of candidates from which only those nearby are weighed.
	maxTargetsAllZones = 64
	// rateSampleTokens is the shortest prompt whose time tells the rate.
	minRateSampleTokens = 1000
)

// ApplyReport takes a load report asked from the target itself.
func (fl *Fleet) ApplyReport(target string, r engine.Report) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	if kt == nil {
		return
	}
	kt.report, kt.reportAt = r, fl.now()
	kt.incarnation = r.Incarnation
	if kt.prefillRate == 0 {
		kt.prefillRate = r.PrefillRate
	}
	if r.Leaving {
		fl.markLeaving(target, r.Incarnation)
	}
}

// Confirm notes that a plain service answered.
func (fl *Fleet) ConfirmReachable(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.reportAt = fl.now()
		kt.failures = 0
	}
}

// MarkLeaving notes that the present incarnation of a target is leaving.
func (fl *Fleet) MarkLeaving(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		fl.markLeaving(target, kt.incarnation)
	}
}

func (fl *Fleet) markLeaving(target, incarnation string) {
	if kt := fl.targets[target]; kt != nil && incarnation != "" {
		kt.leavingIncarnation = incarnation
	}
}

// Leaving returns the targets known to be leaving, with the incarnation.
func (fl *Fleet) Leaving() map[string]string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	news := map[string]string{}
	for name, kt := range fl.targets {
		if kt.leavingIncarnation != "" && kt.leavingIncarnation == kt.incarnation {
			news[name] = kt.leavingIncarnation
		}
	}
	return news
}

// Begin notes work that this instance sends to a target.
func (fl *Fleet) AddLoad(target string, wk Load) { fl.addSigned(target, wk, 1) }

// End takes back work noted by Begin, and wakes those who wait for room.
func (fl *Fleet) RemoveLoad(target string, wk Load) {
	fl.addSigned(target, wk, -1)
	fl.mu.Lock()
	fl.notify()
	fl.mu.Unlock()
}

// Undo takes back work that was never sent. It wakes nobody: those who wait would else wake each other for ever.
func (fl *Fleet) RevertLoad(target string, wk Load) { fl.addSigned(target, wk, -1) }

func (fl *Fleet) addSigned(target string, wk Load, sign int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.ownLoad = kt.ownLoad.plusSigned(wk, sign)
	}
}

// Observe learns from an attempt that got its first token while nothing else was being prefilled.
func (fl *Fleet) ObservePrefill(target string, tokens int, took time.Duration) {
	if tokens < minRateSampleTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	if kt == nil {
		return
	}
	if kt.prefillRate == 0 {
		kt.prefillRate = sample
	}
	kt.prefillRate += sampleWeight * (sample - kt.prefillRate)
}

// ObserveBesideLong learns from a short prompt that ran beside a long one by how much it came later than predicted.
func (fl *Fleet) ObserveInterference(extra time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.interferenceDelay += time.Duration(sampleWeight * float64(max(0, extra)-fl.interferenceDelay))
}

// Failure counts a failed attempt; several in a row take the target out for a while.
func (fl *Fleet) RecordFailure(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	if kt == nil {
		return
	}
	kt.failures++
	if kt.failures >= ejectionThreshold {
		kt.ejectedUntil = fl.now().Add(ejectionTime)
		kt.failures = 0
	}
}

// Down takes a target that takes no connections out for a while, whatever is left; then it needs a probe.
func (fl *Fleet) MarkUnreachable(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.unreachableUntil = fl.now().Add(unreachableTime)
		kt.reportAt, kt.summaryAt = time.Time{}, time.Time{}
	}
}

// Success ends a run of failures.
func (fl *Fleet) RecordSuccess(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.failures = 0
	}
}

// Wanted selects candidates.
type Filter struct {
	// Model is set for engines, Service for plain services.
	Model, Service string
	// Except names targets that were tried already.
	Exclude []string
	// Peers makes the view include what peers have in flight.
	IncludePeerLoad bool
	// Owned leaves out targets that this instance does not own. What peers have in flight of short prompts is then
	// taken from what they asked for, which is newer than their heartbeats.
	OwnedOnly bool
}

// View is the candidates for a request with what must be done before use.
type CandidateSet struct {
	// Candidates are in the order of their names, this availability zone's first.
	Candidates []policy.Candidate
	// Unconfirmed are those that need a probe first.
	NeedsProbe map[string]bool
}

// Candidates returns the targets that may take new work.
func (fl *Fleet) Candidates(wn Filter) CandidateSet {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.now()
	fit := fl.preferOwnZone(fl.eligible(wn))
	in := slices.DeleteFunc(slices.Clone(fit), func(kt *knownTarget) bool { return now.Before(kt.ejectedUntil) })
	if float64(len(in)) >= minShareNotEjected*float64(len(fit)) {
		fit = in
	}
	vw := CandidateSet{NeedsProbe: map[string]bool{}}
	for _, kt := range fit {
		vw.Candidates = append(vw.Candidates, fl.candidate(kt, wn))
		if now.Sub(kt.confirmedAt()) > maxUnconfirmedAge {
			vw.NeedsProbe[kt.Name] = true
		}
	}
	return vw
}

// nearby leaves out other availability zones in a large fleet, where this one has targets enough and a message to
// each other zone for every decision would not pay.
func (fl *Fleet) preferOwnZone(all []*knownTarget) []*knownTarget {
	if len(all) <= maxTargetsAllZones {
		return all
	}
	var near []*knownTarget
	for _, kt := range all {
		if kt.AvailabilityZone == fl.self.AvailabilityZone {
			near = append(near, kt)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

func (kt *knownTarget) confirmedAt() time.Time {
	heard := kt.summaryAt.Add(-kt.summary.Age)
	if kt.reportAt.After(heard) {
		return kt.reportAt
	}
	return heard
}

func (fl *Fleet) eligible(wn Filter) []*knownTarget {
	var fit []*knownTarget
	for _, name := range fl.targetNames() {
		kt := fl.targets[name]
		leaving := kt.Leaving || (kt.leavingIncarnation != "" && kt.leavingIncarnation == kt.incarnation)
		if wn.OwnedOnly && fl.owner(name) != fl.self.Name {
			continue
		}
		if fl.now().Before(kt.unreachableUntil) {
			continue
		}
		if kt.listed && !leaving && kt.serves(wn) && !slices.Contains(wn.Exclude, name) {
			fit = append(fit, kt)
		}
	}
	return fit
}

func (kt *knownTarget) serves(wn Filter) bool {
	if wn.Service != "" {
		return kt.Kind == KindService && kt.Service == wn.Service
	}
	return kt.Kind == KindEngine && slices.Contains(kt.loadedModels(), wn.Model)
}

// loaded returns the newest known models of an engine.
func (kt *knownTarget) loadedModels() []string {
	switch {
	case kt.reportAt.After(kt.summaryAt) && kt.report.Models != nil:
		return kt.report.Models
	case kt.summary.Models != nil:
		return kt.summary.Models
	default:
		return kt.Models
	}
}

func (fl *Fleet) candidate(kt *knownTarget, wn Filter) policy.Candidate {
	all := kt.ownLoad
	if wn.IncludePeerLoad {
		all = fl.inFlightLoad(kt)
	}
	if wn.OwnedOnly {
		fl.countOffers(kt, &all)
	}
	ca := policy.Candidate{
		Name:        kt.Name,
		OwnRequests: kt.ownLoad.Requests, OwnPrefill: kt.ownLoad.PrefillTokens,
		InFlightPrefill: all.PrefillTokens, InFlightLong: all.LongPrompts, InFlightMemory: all.MemoryTokens,
		ReportedPrefill: kt.report.PrefillTokens,
		PrefillRate:     kt.prefillRate, MemoryTotal: kt.report.MemoryTotal,
	}
	if ca.MemoryTotal == 0 {
		ca.MemoryTotal = kt.summary.MemoryTotal
		ca.ReportedPrefill = kt.summary.ReportedPrefill
	}
	if ca.PrefillRate <= 0 {
		ca.PrefillRate = kt.summary.PrefillRate
	}
	ca.InterferenceDelay = fl.interferenceDelay
	ca.PrefillRateKnown = ca.PrefillRate > 0
	if !ca.PrefillRateKnown {
		ca.PrefillRate = assumedPrefillRate
	}
	return ca
}

// allWork is the owner's total, corrected by what this instance did since.
func (fl *Fleet) inFlightLoad(kt *knownTarget) Load {
	if fl.owner(kt.Name) == fl.self.Name {
		return kt.totalLoad()
	}
	if fl.now().Sub(kt.summaryAt) > fl.peerTimeout {
		return kt.ownLoad
	}
	return kt.summary.Load.Plus(kt.ownLoad)
}
