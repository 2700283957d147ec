package fleet

import (
	"slices"
	"time"

	"github.com/silvermount/silvermount/internal/engine"
	"github.com/silvermount/silvermount/internal/policy"
)

const (
	// assumedPrefillRate is the prefill rate, in prompt tokens per second, of a target whose rate is unknown.
	assumedPrefillRate = 10_000
	// sampleWeight is the weight of a new sample in the moving averages of prefill rates and of the interference delay.
	sampleWeight = 0.2
	// maxUnconfirmedAge is the silence after which a target must be probed before it gets new requests.
	maxUnconfirmedAge = 3 * time.Second
	// After ejectionThreshold failures in a row, a target is ejected for ejectionTime.
	ejectionThreshold = 3
	ejectionTime      = 2 * time.Second
	// unreachableTime is the time for which a target that accepts no connections is not used; after it, a probe is needed.
	unreachableTime = time.Second
	// minShareNotEjected is the minimum share of eligible targets that must remain; ejections are ignored below it.
	minShareNotEjected = 0.5
	// maxTargetsAllZones is the number of eligible targets above which only those in the own availability zone are used.
	maxTargetsAllZones = 64
	// minRateSampleTokens is the minimum length of a prompt whose prefill time is used as a sample of the prefill rate.
	minRateSampleTokens = 1000
)

// ApplyReport applies a load report that this instance got from the target itself.
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

// ConfirmReachable records that a plain service answered a request.
func (fl *Fleet) ConfirmReachable(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.reportAt = fl.now()
		kt.failures = 0
	}
}

// MarkLeaving records that the current incarnation of a target is leaving, so that it gets no new requests.
func (fl *Fleet) MarkLeaving(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		fl.markLeaving(target, kt.incarnation)
	}
}

// markLeaving records that an incarnation of a target is leaving; an empty one is ignored. The caller holds the lock.
func (fl *Fleet) markLeaving(target, incarnation string) {
	if kt := fl.targets[target]; kt != nil && incarnation != "" {
		kt.leavingIncarnation = incarnation
	}
}

// Leaving returns the names of targets whose current incarnation is leaving, with that incarnation.
func (fl *Fleet) Leaving() map[string]string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	leaving := map[string]string{}
	for name, kt := range fl.targets {
		if kt.leavingIncarnation != "" && kt.leavingIncarnation == kt.incarnation {
			leaving[name] = kt.leavingIncarnation
		}
	}
	return leaving
}

// AddLoad adds load that this instance sends to a target.
func (fl *Fleet) AddLoad(target string, lo Load) { fl.addSigned(target, lo, 1) }

// RemoveLoad removes load that AddLoad added, and wakes the requests that wait for room.
func (fl *Fleet) RemoveLoad(target string, lo Load) {
	fl.addSigned(target, lo, -1)
	fl.mu.Lock()
	fl.notify()
	fl.mu.Unlock()
}

// RevertLoad removes load of a request that was never sent. It does not wake waiting requests: they would wake each other in
// an endless loop, since each that tries in vain reverts its load.
func (fl *Fleet) RevertLoad(target string, lo Load) { fl.addSigned(target, lo, -1) }

// addSigned adds the load, multiplied by sign, to the load of this instance at the target.
func (fl *Fleet) addSigned(target string, lo Load, sign int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.ownLoad = kt.ownLoad.plusSigned(lo, sign)
	}
}

// ObservePrefill updates the prefill rate of a target with the prefill time of a prompt that ran there without other prefill.
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

// ObserveInterference updates the interference delay with the time by which the first token of a short prompt, on a target with
// a long prompt, came later than predicted without the long one. A negative delay counts as zero.
func (fl *Fleet) ObserveInterference(extra time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.interferenceDelay += time.Duration(sampleWeight * float64(max(0, extra)-fl.interferenceDelay))
}

// RecordFailure counts a failed attempt. After ejectionThreshold failures in a row, the target is ejected for a while.
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

// MarkUnreachable excludes a target that accepts no connections for a while, even if no other target remains. After that it
// needs a probe.
func (fl *Fleet) MarkUnreachable(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.unreachableUntil = fl.now().Add(unreachableTime)
		kt.reportAt, kt.summaryAt = time.Time{}, time.Time{}
	}
}

// RecordSuccess resets the count of failures in a row.
func (fl *Fleet) RecordSuccess(target string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if kt := fl.targets[target]; kt != nil {
		kt.failures = 0
	}
}

// Filter selects the targets that can serve a request.
type Filter struct {
	// Model is set for engines, Service for plain services.
	Model, Service string
	// Exclude holds the names of targets that were already tried.
	Exclude []string
	// IncludePeerLoad adds the load of peers to that of this instance.
	IncludePeerLoad bool
	// OwnedOnly excludes targets that this instance does not own. The short prompts of peers are then counted from the offers
	// made to them, which are newer than their heartbeats.
	OwnedOnly bool
}

// CandidateSet is the result of Candidates.
type CandidateSet struct {
	// Candidates are sorted by name.
	Candidates []policy.Candidate
	// NeedsProbe holds the names of candidates that must be probed before use, since nobody has heard from them lately.
	NeedsProbe map[string]bool
}

// Candidates returns the targets that match the filter and may get new requests.
func (fl *Fleet) Candidates(fi Filter) CandidateSet {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.now()
	eligible := fl.preferOwnZone(fl.eligible(fi))
	notEjected := slices.DeleteFunc(slices.Clone(eligible), func(kt *knownTarget) bool { return now.Before(kt.ejectedUntil) })
	if float64(len(notEjected)) >= minShareNotEjected*float64(len(eligible)) {
		eligible = notEjected
	}
	cs := CandidateSet{NeedsProbe: map[string]bool{}}
	for _, kt := range eligible {
		cs.Candidates = append(cs.Candidates, fl.candidate(kt, fi))
		if now.Sub(kt.confirmedAt()) > maxUnconfirmedAge {
			cs.NeedsProbe[kt.Name] = true
		}
	}
	return cs
}

// preferOwnZone excludes targets in other availability zones if there are many, unless the own zone has none. In a large fleet
// the own zone has enough targets, and messages to every other zone for each decision would not pay off.
func (fl *Fleet) preferOwnZone(all []*knownTarget) []*knownTarget {
	if len(all) <= maxTargetsAllZones {
		return all
	}
	var ownZone []*knownTarget
	for _, kt := range all {
		if kt.AvailabilityZone == fl.self.AvailabilityZone {
			ownZone = append(ownZone, kt)
		}
	}
	if len(ownZone) == 0 {
		return all
	}
	return ownZone
}

// confirmedAt returns the last time at which this instance or the owner is known to have heard from the target.
func (kt *knownTarget) confirmedAt() time.Time {
	confirmed := kt.summaryAt.Add(-kt.summary.Age)
	if kt.reportAt.After(confirmed) {
		return kt.reportAt
	}
	return confirmed
}

// eligible returns the targets that match the filter and are listed, reachable and not leaving, sorted by name. The caller
// holds the lock.
func (fl *Fleet) eligible(fi Filter) []*knownTarget {
	var eligible []*knownTarget
	for _, name := range fl.targetNames() {
		kt := fl.targets[name]
		if fi.OwnedOnly && fl.owner(name) != fl.self.Name {
			continue
		}
		if fl.now().Before(kt.unreachableUntil) {
			continue
		}
		if kt.takesWork() && kt.serves(fi) && !slices.Contains(fi.Exclude, name) {
			eligible = append(eligible, kt)
		}
	}
	return eligible
}

// TakesWork reports whether a target is listed and not leaving.
func (fl *Fleet) TakesWork(target string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	return kt != nil && kt.takesWork()
}

// takesWork reports whether the target is listed and not leaving.
func (kt *knownTarget) takesWork() bool {
	leaving := kt.Leaving || (kt.leavingIncarnation != "" && kt.leavingIncarnation == kt.incarnation)
	return kt.listed && !leaving
}

// serves reports whether the target provides the service or has loaded the model of the filter.
func (kt *knownTarget) serves(fi Filter) bool {
	if fi.Service != "" {
		return kt.Kind == KindService && kt.Service == fi.Service
	}
	return kt.Kind == KindEngine && slices.Contains(kt.loadedModels(), fi.Model)
}

// loadedModels returns the models of an engine from the newest source: the last report, the owner's summary or the platform's
// list.
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

// candidate converts a target to a candidate of the policy. The caller holds the lock.
func (fl *Fleet) candidate(kt *knownTarget, fi Filter) policy.Candidate {
	lo := kt.ownLoad
	if fi.IncludePeerLoad {
		lo = fl.inFlightLoad(kt)
	}
	if fi.OwnedOnly {
		fl.countOffers(kt, &lo)
	}
	ca := policy.Candidate{
		Name:        kt.Name,
		OwnRequests: kt.ownLoad.Requests, OwnPrefill: kt.ownLoad.PrefillTokens,
		InFlightPrefill: lo.PrefillTokens, InFlightLong: lo.LongPrompts, InFlightMemory: lo.MemoryTokens,
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

// inFlightLoad returns the load of all instances on a target: the exact total if this instance is the owner, otherwise the
// owner's last summary, which excludes this instance, plus the own load. A summary older than peerTimeout is ignored.
func (fl *Fleet) inFlightLoad(kt *knownTarget) Load {
	if fl.owner(kt.Name) == fl.self.Name {
		return kt.totalLoad()
	}
	if fl.now().Sub(kt.summaryAt) > fl.peerTimeout {
		return kt.ownLoad
	}
	return kt.summary.Load.Plus(kt.ownLoad)
}
