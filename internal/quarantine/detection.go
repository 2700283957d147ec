package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// tieBreakCrashes is the number of crashes from which the likelier of two similar suspects is quarantined even so. Requests
	// that always run together could otherwise never be distinguished.
	tieBreakCrashes = minCrashes + 2
	// maxEvaluationInterval is the maximum time between two evaluations of the same evidence, which tells more as time goes by.
	maxEvaluationInterval = 100 * time.Millisecond
)

// quarantineSuspects quarantines fingerprints by the present evidence, the strongest suspect first: the crashes of targets that ran a
// quarantined request count as explained, and no longer as evidence against others. It reports whether any quarantine has begun or ended. The
// caller holds the lock.
func (tr *Tracker) quarantineSuspects() bool {
	now := tr.opts.Now()
	if tr.evaluatedRevision == tr.revision && now.Before(tr.evaluateAgainAt) {
		return false
	}
	defer func() { tr.evaluatedRevision, tr.evaluateAgainAt = tr.revision, now.Add(tr.timeToSettle()) }()
	changed := false
	for range maxQuarantines {
		sp, ok := tr.strongestSuspect()
		if !ok {
			break
		}
		changed = true
		qu := Quarantine{EvidenceFrom: sp.firstInterrupted(), Since: now}
		previous := tr.previousQuarantine(sp)
		if previous.Level == 0 {
			previous = Quarantine{Members: tr.inseparable(sp)}
		}
		qu.Members = previous.Members
		qu.Level, qu.Crashes = previous.Level+1, previous.Crashes+len(sp.runs)
		qu.Until = now.Add(quarantineDuration(qu.Level))
		fs := tr.evidenceFields(sp)
		fs["source"] = "own"
		tr.quarantine(qu, fs)
	}
	return tr.advanceDoubtful() || changed
}

// evidenceFields returns the log fields that tell what a decision on a suspect rests on. The caller holds the lock.
func (tr *Tracker) evidenceFields(sp suspect) log.Fields {
	from := sp.firstInterrupted()
	answersWith, answersWithout := tr.recentAnswers.count(sp.fingerprint, from)
	interruptedWith, interruptedWithout := tr.recentInterrupted.count(sp.fingerprint, from.Add(-rateWindow))
	return log.Fields{
		"targets": joinTargets(sp.runs), "chance": strconv.FormatFloat(sp.pValue, 'e', 1, 64), "cautious": sp.cautious,
		"begun": sp.countBegun(), "since_first": tr.opts.Now().Sub(from).Round(time.Millisecond).String(),
		"answers_with": answersWith, "answers_without": answersWithout,
		"interrupted_with": interruptedWith, "interrupted_without": interruptedWithout,
	}
}

// advanceDoubtful lets the first probe of quarantines be sent now whose crashes others explain by now, and reports whether there were
// any. What ran beside the cause in its first crashes may look like the cause until it has crashed more targets. The caller holds
// the lock.
func (tr *Tracker) advanceDoubtful() bool {
	exclusive := map[fingerprint.Fingerprint]int{}
	for _, cr := range tr.crashes {
		if ids := tr.explanations(cr); len(ids) == 1 {
			exclusive[ids[0]]++
		}
	}
	now := tr.opts.Now()
	advanced := false
	for id, qu := range tr.quarantines {
		first := qu.Level == 1 && qu.activeAt(now) && id.Kind != fingerprint.WholeRequest
		if first && exclusive[id] < minCrashes && tr.isExplainedByOthers(id, exclusive) {
			qu.Until = now
			tr.storeQuarantine(qu)
			tr.opts.Log.WithFields(quarantineFields(qu)).Info("quarantine in doubt: others explain its crashes")
			advanced = true
		}
	}
	return advanced
}

// isExplainedByOthers reports whether enough crashes under a quarantined fingerprint are known, and one of the other quarantines that
// explain them has enough crashes of its own. The caller holds the lock.
func (tr *Tracker) isExplainedByOthers(id fingerprint.Fingerprint, exclusive map[fingerprint.Fingerprint]int) bool {
	known, explained := 0, false
	for _, cr := range tr.crashes {
		ids := tr.explanations(cr)
		if !slices.Contains(ids, id) {
			continue
		}
		known++
		explained = explained || slices.ContainsFunc(ids, func(other fingerprint.Fingerprint) bool { return exclusive[other] >= minCrashes })
	}
	return known >= minCrashes && explained
}

// timeToSettle returns the time until more evidence may be settled, and at most maxEvaluationInterval. The caller holds the lock.
func (tr *Tracker) timeToSettle() time.Duration {
	wait := maxEvaluationInterval
	for _, cr := range tr.crashes {
		if remaining := settleDelay - tr.opts.Now().Sub(cr.settlesFrom()); remaining >= 0 {
			wait = min(wait, remaining)
		}
	}
	return wait
}

// assessment is the evidence from the runs that were interrupted before a time.
type assessment struct {
	// settled are the crashes before the time.
	settled []*crash
	// suspects are the fingerprints of content that may have to be quarantined, with the evidence from settled crashes.
	suspects []suspect
	// paths are those with enough evidence for a quarantine.
	paths []suspect
}

// assess assesses the evidence from runs that were interrupted before a time. The caller holds the lock.
func (tr *Tracker) assess(before time.Time) assessment {
	var as assessment
	for fp, n := range tr.evidenceCounts {
		if fp.Kind == fingerprint.Organisation || tr.memberCounts[fp] == 0 && n < minCrashes {
			continue
		}
		if as.settled == nil {
			as.settled = tr.crashesBefore(before)
		}
		if isPath(fp) {
			continue
		}
		if sp := tr.suspect(fp, as.settled); sp.freshCount > 0 {
			as.suspects = append(as.suspects, sp)
		}
	}
	return as
}

// crashesBefore returns the crashes whose evidence was exchanged since before a time. The caller holds the lock.
func (tr *Tracker) crashesBefore(at time.Time) []*crash {
	list := make([]*crash, 0, len(tr.crashes))
	for _, cr := range tr.crashes {
		if !cr.settlesFrom().After(at) {
			list = append(list, cr)
		}
	}
	return list
}

// strongestSuspect returns the next fingerprint to quarantine. The caller holds the lock.
func (tr *Tracker) strongestSuspect() (suspect, bool) {
	as := tr.assess(tr.opts.Now().Add(-settleDelay))
	as.suspects = slices.DeleteFunc(as.suspects, tr.isExonerated)
	slices.SortFunc(as.suspects, suspect.compareStrength)
	as.paths = tr.suspectPaths(as)
	for _, sp := range as.suspects {
		previous := tr.previousQuarantine(sp)
		if !sp.meetsThresholds(previous) {
			continue
		}
		sp = tr.withoutSharedCrashes(sp, as)
		others := slices.DeleteFunc(slices.Clone(as.suspects), func(other suspect) bool { return tr.sameRuns(sp, other.fingerprint) })
		distinct := len(sp.runs) >= tieBreakCrashes || !sp.indistinguishable(others)
		if sp.meetsThresholds(previous) && distinct && !tr.hasLongerActiveRun(sp) && tr.isConclusive(sp) {
			return sp, true
		}
	}
	return tr.strongestPath(as)
}

// strongestPath returns the next path to quarantine. The caller holds the lock.
func (tr *Tracker) strongestPath(as assessment) (suspect, bool) {
	slices.SortFunc(as.paths, suspect.compareStrength)
	for _, sp := range as.paths {
		if !tr.isExonerated(sp) && tr.othersAreAnswered(sp) {
			return sp, true
		}
	}
	return suspect{}, false
}

// suspectPaths returns the paths with enough evidence for a quarantine. A path that was recently answered is left out: several causes in
// requests to it, and a pause of its answers, look the same as a path that crashes targets. The caller holds the lock.
func (tr *Tracker) suspectPaths(as assessment) []suspect {
	var paths []suspect
	for fp, n := range tr.evidenceCounts {
		if !isPath(fp) || tr.memberCounts[fp] == 0 && n < minCautiousCrashes {
			continue
		}
		sp := tr.suspect(fp, crashesByRequest(fp, tr.withoutParts(as)))
		if !sp.knownSound && sp.meetsThresholds(tr.previousQuarantine(sp)) {
			paths = append(paths, sp)
		}
	}
	return paths
}

// withoutParts returns the settled crashes that no part of prompts explains or is likely to explain. A part that was recently answered is
// the less likely explanation. The caller holds the lock.
func (tr *Tracker) withoutParts(as assessment) []*crash {
	return slices.DeleteFunc(slices.Clone(as.settled), func(cr *crash) bool {
		suspected := slices.ContainsFunc(as.suspects, func(sp suspect) bool {
			_, ran := cr.runs[sp.fingerprint]
			return ran && isPart(sp.fingerprint) && !sp.knownSound && sp.pValue <= maxProbationPValue
		})
		return suspected || slices.ContainsFunc(tr.explanations(cr), func(id fingerprint.Fingerprint) bool {
			return slices.ContainsFunc(tr.quarantines[id].Members, isPart)
		})
	})
}

// crashesByRequest returns the first crash under each request with a path. That one request is sent again and again and crashes several
// targets says nothing against its path.
func crashesByRequest(path fingerprint.Fingerprint, crashes []*crash) []*crash {
	first := map[fingerprint.Fingerprint]*crash{}
	for _, cr := range crashes {
		whole, known := cr.requestOf(cr.runs[path])
		if earlier, counted := first[whole]; known && (!counted || cr.at.Before(earlier.at)) {
			first[whole] = cr
		}
	}
	return slices.Collect(maps.Values(first))
}

// previousQuarantine returns the quarantine that the crashes under a suspect continue: that of the suspect alone, or one with all of
// whose members the suspect ran on all targets whose crashes nothing explains yet. The caller holds the lock.
func (tr *Tracker) previousQuarantine(sp suspect) Quarantine {
	if qu, ok := tr.quarantines[sp.fingerprint]; ok || tr.memberCounts[sp.fingerprint] == 0 {
		return qu
	}
	for _, qu := range tr.quarantines {
		if slices.Contains(qu.Members, sp.fingerprint) && tr.ranTogether(qu.Members, sp) {
			return qu
		}
	}
	return Quarantine{}
}

// ranTogether reports whether all of the fingerprints were in those runs of a suspect whose crashes nothing explains yet. The caller
// holds the lock.
func (tr *Tracker) ranTogether(fps []fingerprint.Fingerprint, sp suspect) bool {
	for _, ev := range sp.runs {
		cr, ok := tr.crashes[ev.Incarnation]
		if !ok || len(tr.explanations(cr)) > 0 {
			continue
		}
		if slices.ContainsFunc(fps, func(fp fingerprint.Fingerprint) bool { return cr.runs[fp].Run != ev.Run }) {
			return false
		}
	}
	return true
}

// isExonerated reports whether a run with what many requests have in common lasts longer than those that crashes interrupted. The
// caller holds the lock.
func (tr *Tracker) isExonerated(sp suspect) bool {
	return sp.fingerprint.Kind != fingerprint.WholeRequest && tr.hasLongerActiveRun(sp)
}

// withoutSharedCrashes returns the suspect without the crashes of targets that also ran a better suspect: one that outranks it, one
// with more crashes, or a path if only the suspect was recently answered. That one is the likelier cause of these, whether it is quarantined or not. The caller holds the lock.
func (tr *Tracker) withoutSharedCrashes(sp suspect, as assessment) suspect {
	better := slices.DeleteFunc(slices.Clone(as.suspects), func(other suspect) bool {
		return !other.outranks(sp) && (len(other.runs) <= len(sp.runs) || sp.outranks(other))
	})
	if sp.knownSound {
		better = append(better, as.paths...)
	}
	unshared := slices.DeleteFunc(slices.Clone(as.settled), func(cr *crash) bool {
		return slices.ContainsFunc(better, func(other suspect) bool {
			_, ran := cr.runs[other.fingerprint]
			return ran
		})
	})
	return tr.suspect(sp.fingerprint, unshared)
}

// inseparable returns the fingerprint of a suspect and all others that were in each of its interrupted runs, sorted. The evidence does
// not tell which of them is the cause. The caller holds the lock.
func (tr *Tracker) inseparable(sp suspect) []fingerprint.Fingerprint {
	members := []fingerprint.Fingerprint{sp.fingerprint}
	for _, cr := range tr.crashes {
		if _, ran := cr.runs[sp.fingerprint]; !ran {
			continue
		}
		for fp := range cr.runs {
			if fp != sp.fingerprint && tr.sameRuns(sp, fp) {
				members = append(members, fp)
			}
		}
		break
	}
	slices.SortFunc(members, fingerprint.Fingerprint.Compare)
	return members[:min(len(members), maxMembers)]
}

// sameRuns reports whether a fingerprint was in all runs with the suspect that crashes interrupted, explained or not. The caller holds
// the lock.
func (tr *Tracker) sameRuns(sp suspect, fp fingerprint.Fingerprint) bool {
	for _, cr := range tr.crashes {
		run, ran := cr.runs[sp.fingerprint]
		if !ran {
			continue
		}
		if other, ran := cr.runs[fp]; !ran || run.Run == 0 || other.Run != run.Run {
			return false
		}
	}
	return true
}

// unexplained returns the crashes that no quarantine explains. The caller holds the lock.
func (tr *Tracker) unexplained() []*crash {
	unexplained := make([]*crash, 0, len(tr.crashes))
	for _, cr := range tr.crashes {
		if len(tr.explanations(cr)) == 0 {
			unexplained = append(unexplained, cr)
		}
	}
	return unexplained
}

// explanations returns the IDs of the quarantines that explain a crash: it interrupted runs with all their members before their end.
// The caller holds the lock.
func (tr *Tracker) explanations(cr *crash) []fingerprint.Fingerprint {
	if cr.explainedAt == tr.quarantineRevision {
		return cr.explainedBy
	}
	cr.explainedBy, cr.explainedAt = nil, tr.quarantineRevision
	for id, qu := range tr.quarantines {
		missing := func(fp fingerprint.Fingerprint) bool {
			ev, ran := cr.runs[fp]
			return !ran || !ev.At.Before(qu.Until)
		}
		if !slices.ContainsFunc(qu.decisive(), missing) {
			cr.explainedBy = append(cr.explainedBy, id)
		}
	}
	return cr.explainedBy
}

// isExplainedWithout reports whether a crash is explained by a quarantine that says nothing against a fingerprint, or by one of the
// fingerprint alone. A quarantine of several members leaves open which of them is the cause, so that their crashes remain evidence
// against each. The caller holds the lock.
func (tr *Tracker) isExplainedWithout(fp fingerprint.Fingerprint, cr *crash) bool {
	return slices.ContainsFunc(tr.explanations(cr), func(id fingerprint.Fingerprint) bool {
		members := tr.quarantines[id].Members
		return len(members) == 1 || !slices.Contains(members, fp)
	})
}
