package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/silvermount/silvermount/internal/fingerprint"
)

const (
	// initialQuarantine is the duration of the first quarantine. The duration doubles, up to maxQuarantine, each time that
	// another target crashes under a probe after its end.
	initialQuarantine = 5 * time.Minute
	maxQuarantine     = 2 * time.Hour
	// maxProbedLevel is the highest level of a quarantine that ends although its requests are still sent. Each of these ends costs a
	// target, and operators accept three.
	maxProbedLevel = 3
	// probeSpacing is the mean time between the moments at which two instances may probe a quarantine that has ended, so that the
	// second one has learned of the outcome of the first.
	probeSpacing = 10 * time.Second
	// outcomeTimeout is the time after a probe of an ended quarantine after which its outcome is no longer waited for.
	outcomeTimeout = 30 * time.Second
)

// Quarantine is the decision that requests which have all of some fingerprints crash their targets and are refused for a time.
type Quarantine struct {
	// Members are these fingerprints, sorted; at least one. The slice is never modified.
	Members []fingerprint.Fingerprint
	// Crashes is the number of targets that had crashed while they ran such requests.
	Crashes int
	// Level is the number of consecutive quarantines of these fingerprints, from 1.
	Level int
	// EvidenceFrom is when the first run was interrupted that counted. A complete answer after that shows that it should not have.
	EvidenceFrom time.Time
	// Since and Until are when the requests began to be refused and when one may be sent as a probe.
	Since, Until time.Time
}

// ID returns the fingerprint that identifies the quarantine: the whole request if that is a member, its only member, or the combination
// of its members.
func (qu Quarantine) ID() fingerprint.Fingerprint {
	// Whole requests are sorted to the front.
	if len(qu.Members) > 0 && qu.Members[0].Kind == fingerprint.WholeRequest {
		return qu.Members[0]
	}
	return fingerprint.OfCombination(qu.Members)
}

// decisive returns the members that decide whether a request is refused and a crash explained. A whole request implies all others, even
// where the evidence against them was cleared.
func (qu Quarantine) decisive() []fingerprint.Fingerprint {
	if qu.ID().Kind == fingerprint.WholeRequest {
		return qu.Members[:1]
	}
	return qu.Members
}

// endsWithout reports whether a quarantine ends with a member: with the last one, with that of a whole request, and with a path that no
// content is left beside, since the organisation that would be left is not quarantined for itself.
func (qu Quarantine) endsWithout(fp fingerprint.Fingerprint) bool {
	rest := qu.WithoutMember(fp).Members
	return len(rest) == 0 || fp.Kind == fingerprint.WholeRequest || isPath(fp) && !slices.ContainsFunc(rest, isContent)
}

// WithoutMember returns a copy without a fingerprint.
func (qu Quarantine) WithoutMember(fp fingerprint.Fingerprint) Quarantine {
	qu.Members = slices.DeleteFunc(slices.Clone(qu.Members), func(other fingerprint.Fingerprint) bool { return other == fp })
	return qu
}

// activeAt reports whether all requests are refused at a time.
func (qu Quarantine) activeAt(now time.Time) bool { return now.Before(qu.Until) }

// quarantineDuration returns the duration of a quarantine of the given level.
func quarantineDuration(level int) time.Duration {
	d := initialQuarantine
	for range level - 1 {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// tombstone voids the evidence against a fingerprint up to a time.
type tombstone struct {
	// at is the time up to which evidence and quarantines are void.
	at time.Time
	// until is how long the tombstone overrides quarantines that peers still send; zero if there was no quarantine.
	until time.Time
	// byOperator is set when an operator lifted the quarantine. All instances then forward the tombstone.
	byOperator bool
	// fromPeer is set when a peer sent the tombstone.
	fromPeer bool
}

// Quarantines returns the quarantines for which requests are refused here, sorted by ID.
func (tr *Tracker) Quarantines() []Quarantine {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Now()
	var list []Quarantine
	for _, qu := range tr.quarantines {
		if now.Before(tr.probeTurn(qu)) {
			list = append(list, qu)
		}
	}
	sortByID(list)
	return list
}

func sortByID(list []Quarantine) {
	slices.SortFunc(list, func(a, b Quarantine) int { return a.ID().Compare(b.ID()) })
}

// LiftQuarantine ends a quarantine on all instances, at the request of an operator. It reports whether there was one with this ID.
func (tr *Tracker) LiftQuarantine(id fingerprint.Fingerprint) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.expire()
	qu, ok := tr.quarantines[id]
	if !ok {
		return false
	}
	for _, fp := range qu.Members {
		tr.clear(fp, tombstone{at: tr.opts.Now(), byOperator: true})
	}
	tr.evaluateAndNotify()
	return true
}

// quarantine stores a quarantine and logs it. The caller holds the lock.
func (tr *Tracker) quarantine(qu Quarantine, fields log.Fields) {
	if len(tr.quarantines) >= maxQuarantines {
		tr.evictQuarantine()
	}
	tr.storeQuarantine(qu)
	if fields["source"] != sourceStore {
		tr.reportChange(qu, false)
	}
	fields["for"] = qu.Until.Sub(tr.opts.Now()).Round(time.Second).String()
	fields["level"] = qu.Level
	tr.opts.Log.WithFields(quarantineFields(qu)).WithFields(fields).Warn("request quarantined: targets crashed while they ran it")
}

// quarantineFields returns the log fields that identify a quarantine.
func quarantineFields(qu Quarantine) log.Fields {
	fs := log.Fields{"fingerprint": qu.ID().String(), "ends": qu.Crashes}
	if len(qu.Members) > 1 {
		fs["members"] = joinFingerprints(qu.Members)
	}
	return fs
}

// joinFingerprints returns the fingerprints separated by commas.
func joinFingerprints(fps []fingerprint.Fingerprint) string {
	texts := make([]string, len(fps))
	for i, fp := range fps {
		texts[i] = fp.String()
	}
	return strings.Join(texts, ",")
}

// storeQuarantine adds a quarantine, or replaces the one with its ID. The caller holds the lock.
func (tr *Tracker) storeQuarantine(qu Quarantine) {
	id := qu.ID()
	if _, known := tr.quarantines[id]; !known {
		tr.adjustMemberCounts(qu, 1)
	}
	tr.quarantines[id] = qu
	tr.quarantinesChanged()
}

// quarantinesChanged makes the crashes that they explain be determined anew. The caller holds the lock.
func (tr *Tracker) quarantinesChanged() {
	tr.revision++
	tr.quarantineRevision++
}

func (tr *Tracker) adjustMemberCounts(qu Quarantine, n int) {
	for _, fp := range qu.Members {
		adjustCount(tr.memberCounts, fp, n)
		if fp.Kind == fingerprint.WholeRequest {
			adjustCount(tr.headCounts, fp.HeadHash(), n)
		}
	}
}

// evictQuarantine removes the quarantine that ends first. The caller holds the lock.
func (tr *Tracker) evictQuarantine() {
	var first Quarantine
	for _, qu := range tr.quarantines {
		if first.Until.IsZero() || qu.Until.Before(first.Until) {
			first = qu
		}
	}
	tr.removeQuarantine(first)
}

// removeQuarantine removes a quarantine. The caller holds the lock.
func (tr *Tracker) removeQuarantine(qu Quarantine) {
	id := qu.ID()
	delete(tr.quarantines, id)
	delete(tr.refusedAt, id)
	delete(tr.probes, id)
	tr.adjustMemberCounts(qu, -1)
	tr.quarantinesChanged()
}

// clear voids the evidence against a fingerprint up to the time of the tombstone, and removes it from all quarantines. It reports
// whether there was anything to void. The caller holds the lock.
func (tr *Tracker) clear(fp fingerprint.Fingerprint, ts tombstone) bool {
	cleared := tr.removeEvidence(fp, ts.at) > 0
	if fp.Kind == fingerprint.WholeRequest {
		tr.removeInterrupted(fp, ts.at)
	}
	for _, qu := range tr.quarantines {
		if slices.Contains(qu.Members, fp) && !qu.EvidenceFrom.After(ts.at) {
			cleared = true
			ts.until = laterOf(ts.until, tr.retainedUntil(qu))
			tr.removeMember(qu, fp, ts.byOperator)
		}
	}
	if cleared {
		tr.setTombstone(fp, ts)
	}
	return cleared
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// removeMember removes a fingerprint from a quarantine, which may end it. The caller holds the lock.
func (tr *Tracker) removeMember(qu Quarantine, fp fingerprint.Fingerprint, lifted bool) {
	tr.removeQuarantine(qu)
	tr.reportChange(qu, true)
	lg := tr.opts.Log.WithFields(quarantineFields(qu)).WithField("lifted", lifted)
	if qu.endsWithout(fp) {
		lg.Warn("quarantine cleared")
		return
	}
	narrowed := qu.WithoutMember(fp)
	lg.WithField("cleared", fp.String()).Warn("quarantine narrowed")
	if other, ok := tr.quarantines[narrowed.ID()]; !ok || other.Level < narrowed.Level {
		tr.storeQuarantine(narrowed)
		tr.reportChange(narrowed, false)
	}
}

// setTombstone stores a tombstone. The caller holds the lock.
func (tr *Tracker) setTombstone(fp fingerprint.Fingerprint, ts tombstone) {
	if len(tr.tombstones) >= maxQuarantines {
		tr.evictOldestTombstone()
	}
	tr.tombstones[fp] = ts
	delete(tr.unpublished, fp)
}

// removeInterrupted removes a fingerprint from the interrupted runs whose targets are not known to have crashed. The caller holds the
// lock.
func (tr *Tracker) removeInterrupted(fp fingerprint.Fingerprint, until time.Time) {
	for i, rn := range tr.interrupted {
		if !rn.At.After(until) && slices.Contains(rn.Fingerprints, fp) {
			tr.interrupted[i].Fingerprints = slices.DeleteFunc(slices.Clone(rn.Fingerprints), func(other fingerprint.Fingerprint) bool {
				return other == fp
			})
		}
	}
}

// removeEvidence removes the evidence against a fingerprint up to a time, and returns the number of crashes. The caller holds the
// lock.
func (tr *Tracker) removeEvidence(fp fingerprint.Fingerprint, until time.Time) int {
	if tr.evidenceCounts[fp] == 0 {
		return 0
	}
	tr.removeLocalEvidence(fp, until)
	removed := 0
	for _, cr := range tr.crashes {
		if ev, ok := cr.runs[fp]; ok && !ev.At.After(until) {
			cr.removeRun(fp)
			tr.adjustCounts(fp, -1)
			removed++
		}
	}
	return removed
}

// evictOldestTombstone removes the oldest tombstone. The caller holds the lock.
func (tr *Tracker) evictOldestTombstone() {
	var oldest fingerprint.Fingerprint
	for fp, ts := range tr.tombstones {
		if oldestTombstone, ok := tr.tombstones[oldest]; !ok || ts.at.Before(oldestTombstone.at) {
			oldest = fp
		}
	}
	delete(tr.tombstones, oldest)
}

// retainedUntil returns when a quarantine is forgotten. Until then a single crash can lead to the next one. The caller holds the lock.
func (tr *Tracker) retainedUntil(qu Quarantine) time.Time {
	return laterOf(qu.Until, tr.refusedAt[qu.ID()]).Add(maxQuarantine)
}

// refuse decides whether a request is refused for a quarantine that it has all fingerprints of. A quarantine whose time is over does not
// end for all: one request at a time is sent as a probe, by one instance after the other, and the others wait for its outcome. The
// caller holds the lock.
func (tr *Tracker) refuse(qu Quarantine) Decision {
	now, id := tr.opts.Now(), qu.ID()
	refusal := Decision{Quarantined: true, Crashes: qu.Crashes, Quarantine: qu}
	switch pb, probed := tr.probes[id]; {
	case qu.activeAt(now):
		tr.refusedAt[id] = now
		tr.extend(qu)
		return refusal
	case now.Before(tr.probeTurn(qu)):
		tr.refusedAt[id] = now
		return refusal
	case probed && now.Sub(pb.sentAt) < outcomeTimeout:
		return Decision{Crashes: qu.Crashes, Delay: outcomeTimeout - now.Sub(pb.sentAt)}
	default:
		tr.probes[id] = probe{sentAt: now}
		return Decision{}
	}
}

// extend postpones the end of a quarantine that is not probed any more, since its requests are still sent. The caller holds the lock.
func (tr *Tracker) extend(qu Quarantine) {
	now := tr.opts.Now()
	duration := quarantineDuration(qu.Level)
	if qu.Level <= maxProbedLevel || qu.Until.Sub(now) > duration/2 {
		return
	}
	qu.Until = now.Add(duration)
	tr.storeQuarantine(qu)
	tr.reportChange(qu, false)
	tr.opts.NotifyPeers()
}

// reportChange reports a quarantine that begins, changes or ends. The caller holds the lock.
func (tr *Tracker) reportChange(qu Quarantine, ended bool) {
	tr.opts.OnChange(Change{Quarantine: qu, Ended: ended, Rank: tr.rank(qu.ID(), qu.Level)})
}

// rank returns about how many instances come before this one in an order that is random for each fingerprint and level.
func (tr *Tracker) rank(fp fingerprint.Fingerprint, level int) float64 {
	return tr.position(fp, level) * float64(tr.opts.PeerCount()+1)
}

// StartRank returns the rank of this instance for tasks that a few of all instances do when they start.
func (tr *Tracker) StartRank() float64 { return tr.rank(fingerprint.Fingerprint{}, 0) }

// probeTurn returns when this instance may probe a quarantine. The turns of the instances are spread at random. The caller holds the
// lock.
func (tr *Tracker) probeTurn(qu Quarantine) time.Time {
	spread := time.Duration(tr.opts.PeerCount()) * probeSpacing
	return qu.Until.Add(time.Duration(tr.position(qu.ID(), qu.Level) * float64(spread)))
}

// position returns a number from 0 to 1 that is random for each instance, fingerprint and level, and always the same.
func (tr *Tracker) position(fp fingerprint.Fingerprint, level int) float64 {
	b := binary.AppendUvarint([]byte(tr.opts.Instance), uint64(level))
	sum := sha256.Sum256(append(append(b, byte(fp.Kind)), fp.Digest[:]...))
	return float64(binary.BigEndian.Uint64(sum[:])) / math.MaxUint64
}

// expireQuarantines removes quarantines and tombstones that are too old. The caller holds the lock.
func (tr *Tracker) expireQuarantines(now time.Time) {
	for _, qu := range tr.quarantines {
		if !now.Before(tr.retainedUntil(qu)) {
			tr.removeQuarantine(qu)
			tr.reportChange(qu, true)
		}
	}
	for fp, ts := range tr.tombstones {
		if now.Sub(ts.at) > gossipDuration && !now.Before(ts.until) {
			delete(tr.tombstones, fp)
		}
	}
}

// joinTargets returns the targets of the runs, sorted and separated by commas.
func joinTargets(runs []Evidence) string {
	ids := make([]string, len(runs))
	for i, ev := range runs {
		ids[i] = ev.Incarnation
	}
	slices.Sort(ids)
	return strings.Join(ids, ",")
}
