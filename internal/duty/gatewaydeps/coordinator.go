package gatewaydeps

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Role is the role of an instance in following the store for the fleet.
type Role int

// An instance that has met no peer yet, or belongs to a small fleet, follows the store only for itself. In a larger fleet,
// followers follow it for all instances, and the others learn of changes from peers. A standby calls the store when the followers
// are silent, a listener when the standbys are silent too.
const (
	RoleJoining Role = iota
	RoleStandalone
	RoleFollower
	RoleStandby
	RoleListener
)

// StoreCoordinator shares between duties the role of this instance in following the store and the configuration versions that peers
// announce. It is safe for concurrent use.
type StoreCoordinator struct {
	role atomic.Pointer[func() Role]
	// settledFor returns how long the number of known instances has not grown.
	settledFor atomic.Pointer[func() time.Duration]
	// onStoreResult is called with whether the store answers this instance.
	onStoreResult atomic.Pointer[func(answered bool)]

	mu sync.Mutex
	// newestPeerVersion is the newest configuration version that a peer has announced.
	newestPeerVersion int64
	// missing holds the announced versions that were not in force at the last call of BehindFor, oldest first and at most maxMissing.
	// They are kept so that a rapid series of versions does not restart the time for which this instance is behind.
	missing []peerVersion
}

// peerVersion is a configuration version and the time at which a peer first announced it.
type peerVersion struct {
	version int64
	at      time.Time
}

// maxMissing bounds the remembered versions. Beyond it the last entry stands for several versions, with the time of the earliest. Once
// some of these are in force, BehindFor overstates the time, and the instance calls the store sooner than necessary.
const maxMissing = 64

// RecordPeerVersion records a configuration version that a peer announces.
func (sc *StoreCoordinator) RecordPeerVersion(version int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if version > sc.newestPeerVersion {
		sc.newestPeerVersion = version
		sc.addMissing(peerVersion{version: version, at: time.Now()})
	}
}

// addMissing adds a missing version. At the bound, the last entry takes the new version and keeps its earlier time. The caller holds
// the lock.
func (sc *StoreCoordinator) addMissing(pv peerVersion) {
	if len(sc.missing) < maxMissing {
		sc.missing = append(sc.missing, pv)
		return
	}
	sc.missing[maxMissing-1].version = pv.version
}

// NewestPeerVersion returns the newest configuration version that a peer has announced; zero if none has.
func (sc *StoreCoordinator) NewestPeerVersion() int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.newestPeerVersion
}

// BehindFor returns how long peers have been announcing a configuration newer than version, which is the one in force; zero if none
// is newer.
func (sc *StoreCoordinator) BehindFor(version int64) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.missing = slices.DeleteFunc(sc.missing, func(pv peerVersion) bool { return pv.version <= version })
	if len(sc.missing) == 0 {
		return 0
	}
	return time.Since(sc.missing[0].at)
}

// SetRole sets the function that determines the role.
func (sc *StoreCoordinator) SetRole(role func() Role) { sc.role.Store(&role) }

// SetSettledFor sets the function that determines how long the number of known instances has not grown.
func (sc *StoreCoordinator) SetSettledFor(settledFor func() time.Duration) {
	sc.settledFor.Store(&settledFor)
}

// SettledFor returns how long the number of known instances has not grown, which is zero before SetSettledFor.
func (sc *StoreCoordinator) SettledFor() time.Duration {
	settledFor := sc.settledFor.Load()
	if settledFor == nil {
		return 0
	}
	return (*settledFor)()
}

// SetOnStoreResult sets the function that ReportStoreResult calls.
func (sc *StoreCoordinator) SetOnStoreResult(onStoreResult func(answered bool)) {
	sc.onStoreResult.Store(&onStoreResult)
}

// ReportStoreResult reports whether the store answers this instance. Before SetOnStoreResult it does nothing.
func (sc *StoreCoordinator) ReportStoreResult(answered bool) {
	if onStoreResult := sc.onStoreResult.Load(); onStoreResult != nil {
		(*onStoreResult)(answered)
	}
}

// Role returns the role of this instance, which is RoleJoining before SetRole.
func (sc *StoreCoordinator) Role() Role {
	role := sc.role.Load()
	if role == nil {
		return RoleJoining
	}
	return (*role)()
}

// FollowsStore reports whether this instance follows the store itself.
func (sc *StoreCoordinator) FollowsStore() bool { return sc.Role() < RoleStandby }
