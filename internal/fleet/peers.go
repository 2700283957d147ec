package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/silvermount/silvermount/internal/set"
)

// Beat is what a peer says of itself and of targets.
type Heartbeat struct {
	// From is the sender.
	Sender Instance
	// BundleVersion is the sender's version in force.
	BundleVersion int64
	// Stopping is set by an instance that is about to end.
	Stopping bool
	// Usage is the sender's work at targets that the receiver owns.
	Usage map[string]Load
	// Summaries are of targets that the sender owns.
	Summaries []TargetSummary
	// Leaving maps targets to the incarnation that is leaving.
	Leaving map[string]string
}

// goneAfter is the silence after which nobody expects a peer to come back as it was.
const peerRetention = 10 * time.Minute

// PeerStatus is what is known of one peer.
type PeerStatus struct {
	Instance
	// Heard is the time since its last heartbeat.
	HeartbeatAge time.Duration
	// BundleVersion is its version in force.
	BundleVersion int64
	// Live is false for a peer that is silent or stopping.
	Live bool
	// Listed is set while the platform lists it.
	Listed bool
}

// ApplyBeat takes a heartbeat.
func (fl *Fleet) ApplyHeartbeat(b Heartbeat) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kp := fl.peers[b.Sender.Name]
	if kp == nil {
		kp = &knownPeer{}
		fl.peers[b.Sender.Name] = kp
	}
	if kp.Incarnation != "" && kp.Incarnation != b.Sender.Incarnation {
		fl.forgetLoads(b.Sender.Name)
		fl.markEnded(kp.Incarnation)
	}
	address := kp.PeerAddress
	kp.Instance = b.Sender
	if kp.PeerAddress == "" {
		kp.PeerAddress = address
	}
	if !fl.isLive(kp) || b.Stopping {
		fl.ownership = ownership{}
	}
	kp.heardAt, kp.bundleVersion, kp.stopping = fl.now(), b.BundleVersion, b.Stopping
	for _, kt := range fl.targets {
		if _, ok := b.Usage[kt.Name]; !ok && b.Usage != nil {
			delete(kt.peerLoads, b.Sender.Name)
		}
	}
	for name, wk := range b.Usage {
		if kt := fl.targets[name]; kt != nil {
			kt.peerLoads[b.Sender.Name] = wk
		}
	}
	fl.applySummaries(b.Summaries)
	for name, incarnation := range b.Leaving {
		fl.markLeaving(name, incarnation)
	}
	fl.notify()
}

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

// forgetWork is called with the lock held when a peer has a new incarnation or is gone.
func (fl *Fleet) forgetLoads(peer string) {
	for _, kt := range fl.targets {
		delete(kt.peerLoads, peer)
	}
}

// DropLost forgets the work of peers that are silent and returns their incarnations.
func (fl *Fleet) ForgetSilentPeers() set.Set[string] {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	gone := set.Of[string]()
	for name, kp := range fl.peers {
		if fl.now().Sub(kp.heardAt) >= fl.peerTimeout {
			fl.forgetLoads(name)
			gone = gone.With(kp.Incarnation)
		}
	}
	return gone
}

// Peers returns all peers ever heard of, by name.
func (fl *Fleet) Peers() []PeerStatus {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var ps []PeerStatus
	for _, kp := range fl.peers {
		ps = append(ps, PeerStatus{
			Instance: kp.Instance, HeartbeatAge: fl.now().Sub(kp.heardAt), BundleVersion: kp.bundleVersion, Live: fl.isLive(kp), Listed: kp.listed,
		})
	}
	slices.SortFunc(ps, func(a, b PeerStatus) int { return strings.Compare(a.Name, b.Name) })
	return ps
}

// PeerByIncarnation returns the peer that has an incarnation. It may be stopping, or gone without a word; a peer in
// another availability zone is often known from the platform only.
func (fl *Fleet) PeerByIncarnation(incarnation string) (Instance, bool) {
	for _, p := range fl.Peers() {
		if p.Incarnation == incarnation && p.HeartbeatAge < peerRetention {
			return p.Instance, true
		}
	}
	return Instance{}, false
}

// UsageFor returns this instance's work at the targets that a peer owns.
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

// SummariesFor returns what this instance knows of the targets that it owns, less the receiver's own work.
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

// otherModels returns the reported models where they differ from the platform's list.
func (kt *knownTarget) reportedModelsIfDifferent() []string {
	if kt.report.Models == nil || slices.Equal(kt.report.Models, kt.Models) {
		return nil
	}
	return kt.report.Models
}

// total is the own work and that of peers, as an owner knows it.
func (kt *knownTarget) totalLoad() Load {
	sum := kt.ownLoad
	for _, wk := range kt.peerLoads {
		sum = sum.Plus(wk)
	}
	return sum
}

// SetInstances takes the platform's list of instances, so that those not heard of yet are dialled. One that is no
// longer listed has ended: an instance takes its entry back after its last request.
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

// Listed is an instance in the platform's list, with the version of its object.
type ListedInstance struct {
	Instance
	Version int64
}

// noteRenewal notes by this instance's own clock when an instance's object last changed.
func (fl *Fleet) recordRenewal(in ListedInstance) {
	kp := fl.peers[in.Name]
	if kp.objectVersion != in.Version {
		kp.objectVersion, kp.renewedAt = in.Version, fl.now()
	}
}

// Gone reports whether an incarnation has ended, or has neither been heard of nor renewed its object for a time.
func (fl *Fleet) PresumedEnded(incarnation string, silence time.Duration) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.ended.Has(incarnation) {
		return true
	}
	now := fl.now()
	for _, kp := range fl.peers {
		if kp.Incarnation == incarnation {
			return now.Sub(kp.heardAt) > silence && now.Sub(kp.renewedAt) > silence
		}
	}
	return false
}

func (fl *Fleet) addListedInstance(in ListedInstance) {
	kp := fl.peers[in.Name]
	if kp == nil {
		kp = &knownPeer{heardAt: fl.now().Add(-fl.peerTimeout)}
		fl.peers[in.Name] = kp
	}
	kp.listed = true
	if fl.now().Sub(kp.heardAt) < fl.peerTimeout {
		return
	}
	if kp.Incarnation != in.Incarnation {
		fl.markEnded(kp.Incarnation)
	}
	kp.Instance = in.Instance
}

// maxEnded bounds the ended incarnations that are remembered.
const maxEnded = 4096

func (fl *Fleet) markEnded(incarnation string) {
	if incarnation == "" {
		return
	}
	if fl.ended.Len() >= maxEnded {
		fl.ended = set.Of[string]()
	}
	fl.ended = fl.ended.With(incarnation)
}

// Ended returns the incarnations of instances that are known to have ended. Silence alone is no such knowledge.
func (fl *Fleet) EndedIncarnations() set.Set[string] {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.ended
}

// Busy returns the long prompts and memory in flight at a target, and the memory it has.
func (fl *Fleet) Utilisation(target string) (long, memoryUsed, memoryTotal int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	kt := fl.targets[target]
	if kt == nil {
		return 0, 0, 0
	}
	wk := kt.totalLoad()
	return wk.LongPrompts, wk.MemoryTokens, kt.report.MemoryTotal
}
