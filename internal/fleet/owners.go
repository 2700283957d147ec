package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownersFor is how long the computed owners hold when nothing is heard that would change them.
const maxOwnershipAge = 200 * time.Millisecond

// owners is who owns each target, computed from one view of who is live.
type ownership struct {
	ownerOf    map[string]string
	computedAt time.Time
}

// Owner returns the name of the instance that owns a target.
func (fl *Fleet) Owner(t Target) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.owner(t.Name)
}

// owner is called with the lock held. A target that is not known has no owner.
func (fl *Fleet) owner(name string) string {
	if fl.ownership.ownerOf == nil || fl.now().Sub(fl.ownership.computedAt) > maxOwnershipAge {
		fl.ownership = ownership{ownerOf: fl.assignOwners(), computedAt: fl.now()}
	}
	return fl.ownership.ownerOf[name]
}

// group is the targets that are shared out together.
type targetGroup struct {
	zone string
	kind Kind
}

// assign gives each target to a live instance of its availability zone, or of any where the zone has none: to the one
// with the highest hash that has less than its share. No two instances differ by more than one target of a kind, and a
// change of instances moves few targets.
func (fl *Fleet) assignOwners() map[string]string {
	all := fl.liveInstances()
	byZone := map[string][]Instance{}
	for _, in := range all {
		byZone[in.AvailabilityZone] = append(byZone[in.AvailabilityZone], in)
	}
	members := map[targetGroup][]string{}
	for _, name := range fl.targetNames() {
		kt := fl.targets[name]
		gr := targetGroup{zone: kt.AvailabilityZone, kind: kt.Kind}
		members[gr] = append(members[gr], name)
	}
	of := make(map[string]string, len(fl.targets))
	for gr, names := range members {
		able := byZone[gr.zone]
		if len(able) == 0 {
			able = all
		}
		assignEvenly(names, able, of)
	}
	return of
}

// share gives names to instances, each its even share; the first few may take one more.
func assignEvenly(names []string, able []Instance, of map[string]string) {
	load := map[string]int{}
	even, more := len(names)/len(able), len(names)%len(able)
	for _, name := range names {
		best := highestHash(name, able, func(in Instance) bool {
			return load[in.Name] < even || (load[in.Name] == even && more > 0)
		})
		if load[best] >= even {
			more--
		}
		load[best]++
		of[name] = best
	}
}

// highest returns the instance with the highest hash among those that may take more, or among all when none may.
func highestHash(name string, able []Instance, may func(Instance) bool) string {
	best, top := "", uint64(0)
	for _, in := range able {
		h := xxhash.Sum64String(name + "\x00" + in.Name)
		if may(in) && (best == "" || cmp.Or(cmp.Compare(h, top), cmp.Compare(in.Name, best)) > 0) {
			best, top = in.Name, h
		}
	}
	if best == "" {
		return highestHash(name, able, func(Instance) bool { return true })
	}
	return best
}

// liveInstances returns this instance and its live peers, by name. It is called with the lock held.
func (fl *Fleet) liveInstances() []Instance {
	all := []Instance{fl.self}
	for _, kp := range fl.peers {
		if fl.isLive(kp) {
			all = append(all, kp.Instance)
		}
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// LiveInstances returns the number of live instances, this one included.
func (fl *Fleet) LiveInstanceCount() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.liveInstances())
}

// OtherOwners returns the live peers that own an engine with the model, this availability zone's first.
func (fl *Fleet) PeersOwning(model string) (near, far []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	seen := map[string]bool{fl.self.Name: true, "": true}
	for _, kt := range fl.eligible(Filter{Model: model}) {
		owner := fl.owner(kt.Name)
		if seen[owner] {
			continue
		}
		seen[owner] = true
		if kp := fl.peers[owner]; kp != nil && kp.AvailabilityZone == fl.self.AvailabilityZone {
			near = append(near, owner)
		} else {
			far = append(far, owner)
		}
	}
	return near, far
}
