package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOwnershipAge is the age at which owners are computed again even if no event has invalidated them.
const maxOwnershipAge = 200 * time.Millisecond

// ownership is the assignment of all targets to owners, computed from the set of live instances.
type ownership struct {
	// ownerOf maps names of targets to names of instances.
	ownerOf    map[string]string
	computedAt time.Time
}

// Owner returns the name of the instance that owns a target, or an empty one for an unknown target. The owner collects the load
// of all instances on the target, issues grants and makes offers for it.
func (fl *Fleet) Owner(t Target) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.owner(t.Name)
}

// owner returns the owner of the target with this name, or an empty one for an unknown target. The caller holds the lock.
func (fl *Fleet) owner(name string) string {
	if fl.ownership.ownerOf == nil || fl.now().Sub(fl.ownership.computedAt) > maxOwnershipAge {
		fl.ownership = ownership{ownerOf: fl.assignOwners(), computedAt: fl.now()}
	}
	return fl.ownership.ownerOf[name]
}

// targetGroup identifies targets that are distributed together.
type targetGroup struct {
	zone string
	kind Kind
}

// assignOwners assigns each target to a live instance of its availability zone, or to any live instance if the zone has none. It
// takes the instance with the highest hash that has less than its share of the group. Within a group, the numbers of targets of
// any two instances differ by at most one, and a change of the live instances moves few targets.
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
	ownerOf := make(map[string]string, len(fl.targets))
	for gr, names := range members {
		instances := byZone[gr.zone]
		if len(instances) == 0 {
			instances = all
		}
		assignEvenly(names, instances, ownerOf)
	}
	return ownerOf
}

// assignEvenly assigns the named targets to instances and records the owners in ownerOf. Each instance gets an equal share; if
// there is a remainder, some get one target more.
func assignEvenly(names []string, instances []Instance, ownerOf map[string]string) {
	counts := map[string]int{}
	share, remainder := len(names)/len(instances), len(names)%len(instances)
	for _, name := range names {
		best := highestHash(name, instances, func(in Instance) bool {
			return counts[in.Name] < share || (counts[in.Name] == share && remainder > 0)
		})
		if counts[best] >= share {
			remainder--
		}
		counts[best]++
		ownerOf[name] = best
	}
}

// highestHash returns the instance with the highest hash (rendezvous hashing) among those that have room for another target, or
// among all if none has.
func highestHash(name string, instances []Instance, hasRoom func(Instance) bool) string {
	best, bestHash := "", uint64(0)
	for _, in := range instances {
		h := xxhash.Sum64String(name + "\x00" + in.Name)
		if hasRoom(in) && (best == "" || cmp.Or(cmp.Compare(h, bestHash), cmp.Compare(in.Name, best)) > 0) {
			best, bestHash = in.Name, h
		}
	}
	if best == "" {
		return highestHash(name, instances, func(Instance) bool { return true })
	}
	return best
}

// liveInstances returns this instance and its live peers, sorted by name. The caller holds the lock.
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

// LiveInstanceCount returns the number of live instances including this one.
func (fl *Fleet) LiveInstanceCount() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return len(fl.liveInstances())
}

// PeersOwning returns the names of live peers that own an engine with the model: those in the availability zone of this instance
// and those in other zones.
func (fl *Fleet) PeersOwning(model string) (ownZone, otherZones []string) {
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
			ownZone = append(ownZone, owner)
		} else {
			otherZones = append(otherZones, owner)
		}
	}
	return ownZone, otherZones
}
