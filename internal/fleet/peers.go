package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/set"
)

// Heartbeat is the state of a peer and of the targets that it knows, as it sends it periodically.
type Heartbeat struct {
	// Sender is the peer that sent the heartbeat.
	Sender Instance
	// BundleVersion is the version in force at the sender.
	BundleVersion int64
	// Stopping is set by an instance that is about to stop.
	Stopping bool
	// Usage is the sender's load at the targets that the receiver owns, by target. If it is nil, the heartbeat states no loads
	// and the last ones remain.
	Usage map[string]Load
	// Summaries describe targets that the sender owns.
	Summaries []TargetSummary
	// Leaving maps the names of leaving targets to the incarnation that is leaving.
	Leaving map[string]string
}

// peerRetention is the silence after which a peer is not expected to return as the same incarnation.
const peerRetention = 10 * time.Minute

// PeerStatus is the state of one peer.
type PeerStatus struct {
	Instance
	// HeartbeatAge is the time since the last heartbeat.
	HeartbeatAge time.Duration
	// BundleVersion is the version in force at the peer.
	BundleVersion int64
	// Live is false for a peer that is silent or stopping.
	Live bool
	// Listed is set while the platform lists the peer.
	Listed bool
}

// ApplyHeartbeat updates the state of the sender and of targets from a heartbeat. A new incarnation of the sender implies that
// the previous one has ended, so its load is forgotten.
func (fl *Fleet) ApplyHeartbeat(hb Heartbeat) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kp := fl.peers[hb.Sender.Name]
	if kp == nil {
		kp = &knownPeer{}
		fl.peers[hb.Sender.Name] = kp
	}
	if kp.Incarnation != "" && kp.Incarnation != hb.Sender.Incarnation {
		fl.forgetLoads(hb.Sender.Name)
		fl.markEnded(kp.Incarnation)
	}
	address := kp.PeerAddress
	kp.Instance = hb.Sender
	if kp.PeerAddress == "" {
		kp.PeerAddress = address
	}
	if !fl.isLive(kp) || hb.Stopping {
		fl.ownership = ownership{}
	}
	kp.heartbeatAt, kp.bundleVersion, kp.stopping = fl.now(), hb.BundleVersion, hb.Stopping
	for _, kt := range fl.targets {
		if _, ok := hb.Usage[kt.Name]; !ok && hb.Usage != nil {
			delete(kt.peerLoads, hb.Sender.Name)
		}
	}
	for name, lo := range hb.Usage {
		if kt := fl.targets[name]; kt != nil {
			kt.peerLoads[hb.Sender.Name] = lo
		}
	}
	fl.applySummaries(hb.Summaries)
	for name, incarnation := range hb.Leaving {
		fl.markLeaving(name, incarnation)
	}
	fl.notify()
}

// applySummaries stores summaries that owners sent. The caller holds the lock.
func (fl *Fleet) applySummaries(summaries []TargetSummary) {
	for _, sm := range summaries {
		kt := fl.targets[sm.Target]
		if kt == nil {
			continue
		}
		kt.summary, kt.summaryAt = sm, fl.now()
		if sm.Incarnation != "" && kt.incarnation != sm.Incarnation && fl.owner(kt.Name) != fl.self.Name {
			kt.incarnation = sm.Incarnation
		}
	}
}

// forgetLoads removes the loads of a peer that has a new incarnation or is silent. The caller holds the lock.
func (fl *Fleet) forgetLoads(peer string) {
	for _, kt := range fl.targets {
		delete(kt.peerLoads, peer)
	}
}

// ForgetSilentPeers removes the loads of peers without a heartbeat for the peer timeout, and returns their incarnations.
func (fl *Fleet) ForgetSilentPeers() set.Set[string] {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	silent := set.Of[string]()
	for name, kp := range fl.peers {
		if fl.now().Sub(kp.heartbeatAt) >= fl.peerTimeout {
			fl.forgetLoads(name)
			silent = silent.With(kp.Incarnation)
		}
	}
	return silent
}

// Peers returns all peers that have ever been known, sorted by name.
func (fl *Fleet) Peers() []PeerStatus {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var ps []PeerStatus
	for _, kp := range fl.peers {
		ps = append(ps, PeerStatus{
			Instance: kp.Instance, HeartbeatAge: fl.now().Sub(kp.heartbeatAt), BundleVersion: kp.bundleVersion, Live: fl.isLive(kp), Listed: kp.listed,
		})
	}
	slices.SortFunc(ps, func(a, b PeerStatus) int { return strings.Compare(a.Name, b.Name) })
	return ps
}

// PeerByIncarnation returns the peer with this incarnation, whether it is live or not: it may be stopping, or may have stopped
// without notice. A peer in another availability zone often sends no heartbeats and is known only from the platform.
func (fl *Fleet) PeerByIncarnation(incarnation string) (Instance, bool) {
	for _, p := range fl.Peers() {
		if p.Incarnation == incarnation && p.HeartbeatAge < peerRetention {
			return p.Instance, true
		}
	}
	return Instance{}, false
}

// UsageFor returns the load of this instance at the targets that an instance owns.
func (fl *Fleet) UsageFor(peer string) map[string]Load {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	usage := map[string]Load{}
	for name, kt := range fl.targets {
		if kt.ownLoad != (Load{}) && fl.owner(name) == peer {
			usage[name] = kt.ownLoad
		}
	}
	return usage
}

// SummariesFor returns summaries of the targets that this instance owns, without the load of the receiving peer.
func (fl *Fleet) SummariesFor(peer string) []TargetSummary {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var all []TargetSummary
	for _, name := range fl.targetNames() {
		kt := fl.targets[name]
		if !kt.listed || fl.owner(name) != fl.self.Name {
			continue
		}
		all = append(all, TargetSummary{
			Target: name, Load: kt.totalLoad().plusSigned(kt.peerLoads[peer], -1), Incarnation: kt.incarnation,
			MemoryTotal: kt.report.MemoryTotal, ReportedPrefill: kt.report.PrefillTokens,
			PrefillRate: kt.prefillRate, Age: fl.now().Sub(kt.reportAt), Models: kt.reportedModelsIfDifferent(),
		})
	}
	return all
}

// reportedModelsIfDifferent returns the reported models if they differ from the platform's list, otherwise nil.
func (kt *knownTarget) reportedModelsIfDifferent() []string {
	if kt.report.Models == nil || slices.Equal(kt.report.Models, kt.Models) {
		return nil
	}
	return kt.report.Models
}

// totalLoad returns the load of this instance and of all peers, which only the owner of the target knows.
func (kt *knownTarget) totalLoad() Load {
	sum := kt.ownLoad
	for _, lo := range kt.peerLoads {
		sum = sum.Plus(lo)
	}
	return sum
}

// SetInstances applies the platform's list of instances. New ones become known as peers, so that they are dialled. An instance
// that is no longer listed has ended, since an instance removes its entry after its last request.
func (fl *Fleet) SetInstances(list []ListedInstance) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	listed := map[string]bool{}
	for _, in := range list {
		if in.Name != fl.self.Name {
			listed[in.Name] = true
			fl.addListedInstance(in)
			fl.recordRenewal(in)
		}
	}
	for name, kp := range fl.peers {
		if kp.listed && !listed[name] {
			kp.listed = false
			fl.markEnded(kp.Incarnation)
		}
	}
}

// ListedInstance is an instance in the platform's list, with the version of its object in the store.
type ListedInstance struct {
	Instance
	Version int64
}

// recordRenewal records, by the clock of this instance, when a listed instance last renewed its object. The caller holds the
// lock.
func (fl *Fleet) recordRenewal(in ListedInstance) {
	kp := fl.peers[in.Name]
	if kp.objectVersion != in.Version {
		kp.objectVersion, kp.renewedAt = in.Version, fl.now()
	}
}

// PresumedEnded reports whether an incarnation has ended, or has neither sent a heartbeat nor renewed its object for longer than
// the given silence. An unknown incarnation is not presumed to have ended.
func (fl *Fleet) PresumedEnded(incarnation string, silence time.Duration) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.ended.Has(incarnation) {
		return true
	}
	now := fl.now()
	for _, kp := range fl.peers {
		if kp.Incarnation == incarnation {
			return now.Sub(kp.heartbeatAt) > silence && now.Sub(kp.renewedAt) > silence
		}
	}
	return false
}

// addListedInstance adds a listed instance to the peers, or updates a silent one. A peer that sends heartbeats is not updated,
// since these are newer than the list. The caller holds the lock.
func (fl *Fleet) addListedInstance(in ListedInstance) {
	kp := fl.peers[in.Name]
	if kp == nil {
		kp = &knownPeer{heartbeatAt: fl.now().Add(-fl.peerTimeout)}
		fl.peers[in.Name] = kp
	}
	kp.listed = true
	if fl.now().Sub(kp.heartbeatAt) < fl.peerTimeout {
		return
	}
	if kp.Incarnation != in.Incarnation {
		fl.markEnded(kp.Incarnation)
	}
	kp.Instance = in.Instance
}

// maxEnded is the maximum number of ended incarnations that are remembered.
const maxEnded = 4096

// markEnded records that an incarnation has ended; an empty one is ignored. The caller holds the lock.
func (fl *Fleet) markEnded(incarnation string) {
	if incarnation == "" {
		return
	}
	if fl.ended.Len() >= maxEnded {
		fl.ended = set.Of[string]()
	}
	fl.ended = fl.ended.With(incarnation)
}

// EndedIncarnations returns the incarnations of instances that are known to have ended. Silence alone does not count as ended.
func (fl *Fleet) EndedIncarnations() set.Set[string] {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.ended
}

// Utilisation returns the long prompts and the memory in flight at a target, and its total memory. All are zero for an unknown
// target; the total is also zero if unknown.
func (fl *Fleet) Utilisation(target string) (long, memoryUsed, memoryTotal int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	if kt == nil {
		return 0, 0, 0
	}
	lo := kt.totalLoad()
	return lo.LongPrompts, lo.MemoryTokens, kt.report.MemoryTotal
}
